package org.turmericspan.membership;

import java.time.Duration;
import org.turmericspan.messages.PeerMessage;

/**
 * Computes how often a node starts an exchange of heartbeats. The byte rate is bounded for any fleet size: with more
 * peers or a longer heartbeat, the node contacts each peer less often.
 */
public final class HeartbeatInterval {
    /** Limit on the bytes per second of the heartbeats of one node, sent and received together. */
    static final int MAX_BYTES_PER_SECOND = 9_000;

    /** Shortest time in which a node contacts each of its peers once. */
    private static final Duration MIN_ROUND = Duration.ofMillis(400);
    /** Shortest time between two exchanges, for any number of peers. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(50);
    /** Estimated size of a heartbeat without idle slots. */
    private static final int BASE_HEARTBEAT_BYTES = 80;
    /** Estimated size of the idle slots of one service, without its name. */
    private static final int BYTES_PER_SERVICE = 12;
    /** A heartbeat and the reply to it. */
    private static final int MESSAGES_PER_EXCHANGE = 2;
    /** The exchange that this node starts, and on average one that a peer starts. */
    private static final int EXCHANGES_PER_INTERVAL = 2;

    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private HeartbeatInterval() {}

    /**
     * Computes the time until the next exchange.
     *
     * @param peers number of nodes to exchange with, at least 1
     * @param heartbeat the current heartbeat of this node
     * @return time until the next exchange, before jitter
     */
    public static Duration compute(int peers, PeerMessage.Heartbeat heartbeat) {
        int bytes = BASE_HEARTBEAT_BYTES
                + heartbeat.idleSlots().stream()
                        .mapToInt(idle ->
                                BYTES_PER_SERVICE + idle.service().value().length())
                        .sum();
        long bytesPerInterval = (long) bytes * MESSAGES_PER_EXCHANGE * EXCHANGES_PER_INTERVAL;
        long intervalNanos = Math.max(
                MIN_INTERVAL.toNanos(),
                Math.max(MIN_ROUND.toNanos() / peers, bytesPerInterval * NANOS_PER_SECOND / MAX_BYTES_PER_SECOND));
        return Duration.ofNanos(intervalNanos);
    }
}
