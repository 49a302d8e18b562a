package org.turmericspan.upstream;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/**
 * Keeps one HTTP client with its own connection pool for each upstream. A pool is dropped when one of its connections
 * may no longer respond, and when the pool reaches its maximum age. A connection in use is then closed after its
 * request.
 */
final class UpstreamClients implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration MAX_POOL_AGE = Duration.ofMinutes(5);
    private static final int MAX_IDLE_CONNECTIONS = 16;
    private static final int MAX_CLIENTS = 4_096;

    private final OkHttpClient unpooled;
    private final MonotonicClock clock;
    private final Map<SocketAddress, PooledClient> clients = new ConcurrentHashMap<>();

    UpstreamClients(OkHttpClient template, MonotonicClock clock) {
        this.clock = clock;
        this.unpooled = template.newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                .build();
    }

    /** Returns a client that opens a new connection for each request. */
    OkHttpClient unpooled() {
        return unpooled;
    }

    /** Returns the client that may reuse a pooled connection to an upstream. */
    OkHttpClient pooled(SocketAddress upstream) {
        PooledClient pooled = clients.get(upstream);
        if (pooled != null && clock.nowNanos() - pooled.createdNanos < MAX_POOL_AGE.toNanos()) {
            return pooled.client;
        }
        return replace(upstream, pooled);
    }

    /** Drops the pool of an upstream, so that the next request to it opens a new connection. */
    void dropPool(SocketAddress upstream) {
        PooledClient dropped = clients.remove(upstream);
        if (dropped != null) {
            logger.atWarning().log(
                    "upstream: a connection to %s may be unresponsive; dropping its connection pool", upstream);
            dropped.client.connectionPool().evictAll();
        }
    }

    @Override
    public void close() {
        clients.keySet()
                .forEach(upstream ->
                        clients.remove(upstream).client.connectionPool().evictAll());
        unpooled.connectionPool().evictAll();
    }

    private OkHttpClient replace(SocketAddress upstream, PooledClient expired) {
        if (expired != null) {
            expired.client.connectionPool().evictAll();
        }
        if (clients.size() >= MAX_CLIENTS) {
            close();
        }
        ConnectionPool pool = new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        PooledClient pooled =
                new PooledClient(unpooled.newBuilder().connectionPool(pool).build(), clock.nowNanos());
        clients.put(upstream, pooled);
        return pooled.client;
    }

    private record PooledClient(OkHttpClient client, long createdNanos) {}
}
