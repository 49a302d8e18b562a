package org.turmericspan.http;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Open connections, requests in progress and drain state of one listener. */
final class ListenerState {
    private static final int MIN_RETRY_AFTER_TENTHS = 3;
    private static final int RETRY_AFTER_STEPS = 8;
    private static final double TENTHS_PER_SECOND = 10.0;

    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private final AtomicInteger idleClosed = new AtomicInteger();
    private volatile boolean draining;

    void add(CallerConnection connection) {
        connections.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
    }

    List<CallerConnection> connections() {
        return List.copyOf(connections);
    }

    void requestStarted() {
        requests.incrementAndGet();
    }

    void requestEnded() {
        requests.decrementAndGet();
    }

    int requests() {
        return requests.get();
    }

    void closedIdle() {
        idleClosed.incrementAndGet();
    }

    int idleClosed() {
        return idleClosed.get();
    }

    /** Returns the Retry-After delay in seconds of a request without memory; callers refused together return apart. */
    String nextRetryAfter() {
        int step = Math.floorMod(refusals.getAndIncrement(), RETRY_AFTER_STEPS);
        return Double.toString((MIN_RETRY_AFTER_TENTHS + step) / TENTHS_PER_SECOND);
    }

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }
}
