package org.turmericspan.peer;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;

/**
 * Objects that all links of a node share.
 *
 * @param settings settings of the node
 * @param directory looks up the addresses of peers
 * @param handlers handlers of incoming messages
 * @param workers runs handlers and completes replies
 * @param clock measures the time without traffic
 * @param random generates nonces and the jitter of reconnects; thread-safe
 * @param traffic counts sent and received frames
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
