package org.turmericspan.membership;

import java.time.Duration;
import org.turmericspan.messages.PeerMessage;

/**
 * Decides how often a node starts an exchange of heartbeats. The byte rate is bounded whatever the size of the fleet:
 * a larger fleet or a longer heartbeat makes each peer's turn come later.
 */
public final class HeartbeatInterval {
    /** Bytes a second that heartbeats may take at one node, both directions together. */
    static final int BYTES_PER_SECOND = 9_000;

    private static final Duration SHORTEST_ROUND = Duration.ofMillis(400);
    private static final Duration SHORTEST_STEP = Duration.ofMillis(50);
    private static final int FIXED_BYTES = 80;
    private static final int BYTES_PER_SERVICE = 12;
    private static final int MESSAGES_PER_EXCHANGE = 2;
    private static final int EXCHANGES_PER_STEP = 2;
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private HeartbeatInterval() {}

    /**
     * Computes the pause before the next exchange.
     *
     * @param peers number of nodes to exchange with, from 1
     * @param heartbeat what is sent now
     * @return time until the next exchange, before jitter
     */
    public static Duration compute(int peers, PeerMessage.Heartbeat heartbeat) {
        int bytes = FIXED_BYTES
                + heartbeat.idleSlots().stream()
                        .mapToInt(slots ->
                                BYTES_PER_SERVICE + slots.service().value().length())
                        .sum();
        long bytesPerStep = (long) bytes * MESSAGES_PER_EXCHANGE * EXCHANGES_PER_STEP;
        long nanos = Math.max(
                SHORTEST_STEP.toNanos(),
                Math.max(SHORTEST_ROUND.toNanos() / peers, bytesPerStep * NANOS_PER_SECOND / BYTES_PER_SECOND));
        return Duration.ofNanos(nanos);
    }
}
