package org.turmericspan.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * How a call is made.
 *
 * @param connectTimeoutNanos longest wait for a new connection
 * @param maxIdleNanos longest idle time of a kept connection that may be used
 * @param takesOldest whether the connection idle for longest is taken, which proves it alive; else the newest
 * @param echo header that the response repeats from the request; responses with another value are skipped
 */
public record CallOptions(long connectTimeoutNanos, long maxIdleNanos, boolean takesOldest, Optional<String> echo) {
    /**
     * Returns options of a call on a connection of its own.
     *
     * @param connectTimeoutMillis longest wait for the connection
     * @return the options
     */
    public static CallOptions onNewConnection(long connectTimeoutMillis) {
        return new CallOptions(TimeUnit.MILLISECONDS.toNanos(connectTimeoutMillis), 0, false, Optional.empty());
    }
}
