package org.turmericspan.peer;

import org.turmericspan.messages.PeerMessage;

/** Connections to one peer, apart from each other so that large messages never hold up small ones. */
enum Lane {
    /** Small messages. */
    CONTROL,
    /** Calls and documents. */
    BULK;

    static Lane of(PeerMessage message) {
        boolean isBulk = message instanceof PeerMessage.RelayCall
                || message instanceof PeerMessage.FetchConfiguration
                || message instanceof PeerMessage.FetchView;
        return isBulk ? BULK : CONTROL;
    }
}
