package org.turmericspan.wire;

import org.turmericspan.calls.Payload;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** One frame on a connection between two nodes. */
public sealed interface PeerFrame {
    /**
     * First frame of the node that connects.
     *
     * @param vm VM of the sender
     * @param incarnation life of the sender
     * @param nonce random bytes that the other side must answer for
     */
    record Hello(VmId vm, Incarnation incarnation, Payload nonce) implements PeerFrame {}

    /**
     * Answer to {@link Hello}.
     *
     * @param vm VM of the sender
     * @param incarnation life of the sender
     * @param nonce random bytes that the connecting node must answer for
     * @param mac proof that the sender holds the deployment key
     */
    record Welcome(VmId vm, Incarnation incarnation, Payload nonce, Payload mac) implements PeerFrame {}

    /**
     * Answer to {@link Welcome}.
     *
     * @param mac proof that the sender holds the deployment key
     */
    record Proof(Payload mac) implements PeerFrame {}

    /**
     * A message that needs no answer.
     *
     * @param message the message
     */
    record Tell(PeerMessage message) implements PeerFrame {}

    /**
     * A message that needs an answer.
     *
     * @param correlation number that the answer repeats
     * @param message the message
     */
    record Ask(long correlation, PeerMessage message) implements PeerFrame {}

    /**
     * Answer to {@link Ask}.
     *
     * @param correlation number of the question
     * @param message the answer
     */
    record Answer(long correlation, PeerMessage message) implements PeerFrame {}

    /** Asks for a sign of life. */
    record Ping() implements PeerFrame {}

    /** Answer to {@link Ping}. */
    record Pong() implements PeerFrame {}
}
