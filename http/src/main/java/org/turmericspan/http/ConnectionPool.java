package org.turmericspan.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Idle connections by server address. */
final class ConnectionPool {
    private final RankedLock lock = new RankedLock(LockRank.CONNECTIONS);
    private final Map<SocketAddress, Deque<ServerConnection>> idle = new HashMap<>();
    private final MonotonicClock clock;

    ConnectionPool(MonotonicClock clock) {
        this.clock = clock;
    }

    Optional<ServerConnection> take(SocketAddress address, CallOptions options) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            Deque<ServerConnection> connections = idle.get(address);
            while (connections != null && !connections.isEmpty()) {
                ServerConnection candidate =
                        options.preferOldest() ? connections.removeFirst() : connections.removeLast();
                if (candidate.isUsable(now, options.maxIdleNanos())) {
                    return Optional.of(candidate);
                }
                candidate.closeAsync();
            }
            return Optional.empty();
        });
    }

    void put(ServerConnection connection) {
        lock.run(() -> idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>())
                .addLast(connection));
    }

    void remove(ServerConnection connection) {
        lock.run(() -> {
            Deque<ServerConnection> connections = idle.get(connection.address());
            if (connections != null) {
                connections.remove(connection);
                if (connections.isEmpty()) {
                    idle.remove(connection.address());
                }
            }
        });
    }

    /** Removes and returns all idle connections to an address. */
    List<ServerConnection> removeAll(SocketAddress address) {
        return lock.compute(() -> {
            Deque<ServerConnection> connections = idle.remove(address);
            return connections == null ? List.of() : new ArrayList<>(connections);
        });
    }
}
