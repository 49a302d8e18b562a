package org.turmericspan.peer;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;

/**
 * What every link of a node shares.
 *
 * @param settings settings of the node
 * @param directory tells where peers listen
 * @param handlers handlers of incoming messages
 * @param workers run handlers and complete answers
 * @param clock measures silence
 * @param random draws nonces and spreads reconnects; safe for use by many threads
 * @param traffic counts what passes
 */
public record LinkContext(
        PeerSettings settings,
        PeerDirectory directory,
        PeerHandlers handlers,
        Executor workers,
        MonotonicClock clock,
        RandomGenerator random,
        PeerTraffic traffic) {
    Handshake handshake() {
        return new Handshake(settings, random);
    }
}
