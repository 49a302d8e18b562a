package org.turmericspan.peer;

import org.turmericspan.messages.PeerMessage;

/** Class of messages that has its own connection to each peer, so that large messages never delay small ones. */
enum TrafficClass {
    /** Small messages, such as heartbeats and slot requests. */
    CONTROL,
    /** Relayed calls and requests for documents. */
    BULK;

    static TrafficClass of(PeerMessage message) {
        boolean isBulk = message instanceof PeerMessage.RelayCall
                || message instanceof PeerMessage.FetchConfiguration
                || message instanceof PeerMessage.FetchView;
        return isBulk ? BULK : CONTROL;
    }
}
