package org.turmericspan.wire;

import org.turmericspan.calls.Payload;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** Frame on a connection between two nodes. */
public sealed interface PeerFrame {
    /**
     * First frame of the connecting node.
     *
     * @param vm VM of the sender
     * @param incarnation incarnation of the sender
     * @param nonce random bytes that the accepting node must sign
     */
    record Hello(VmId vm, Incarnation incarnation, Payload nonce) implements PeerFrame {}

    /**
     * Reply to {@link Hello}.
     *
     * @param vm VM of the sender
     * @param incarnation incarnation of the sender
     * @param nonce random bytes that the connecting node must sign
     * @param mac message authentication code, which proves that the sender holds the deployment key
     */
    record Welcome(VmId vm, Incarnation incarnation, Payload nonce, Payload mac) implements PeerFrame {}

    /**
     * Reply to {@link Welcome}.
     *
     * @param mac message authentication code, which proves that the sender holds the deployment key
     */
    record Proof(Payload mac) implements PeerFrame {}

    /**
     * Message that needs no reply.
     *
     * @param message the message
     */
    record Tell(PeerMessage message) implements PeerFrame {}

    /**
     * Message that needs a reply.
     *
     * @param correlation number that the reply repeats
     * @param message the message
     */
    record Ask(long correlation, PeerMessage message) implements PeerFrame {}

    /**
     * Reply to {@link Ask}.
     *
     * @param correlation number of the message that is replied to
     * @param message the reply
     */
    record Answer(long correlation, PeerMessage message) implements PeerFrame {}

    /** Checks whether the other node still receives and replies. */
    record Ping() implements PeerFrame {}

    /** Reply to {@link Ping}. */
    record Pong() implements PeerFrame {}
}
