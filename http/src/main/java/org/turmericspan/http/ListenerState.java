package org.turmericspan.http;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Open connections, requests in progress and drain state of one listener. */
final class ListenerState {
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger requests = new AtomicInteger();
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

    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }
}
