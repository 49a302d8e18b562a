package org.turmericspan.http;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Options of a call.
 *
 * @param connectTimeoutNanos maximum time to establish a new connection
 * @param maxIdleNanos maximum idle time of a pooled connection that may be reused
 * @param preferOldest whether to use the connection that has been idle longest, which verifies that it still works,
 *     instead of the most recently used one
 * @param correlationHeader header that the server copies from the request to the response; a response with
 *     another value, or without one although the request has one, is skipped
 */
public record CallOptions(
        long connectTimeoutNanos, long maxIdleNanos, boolean preferOldest, Optional<String> correlationHeader) {
    /**
     * Returns the options of a call that uses no pooled connection.
     *
     * @param connectTimeoutMillis maximum time to establish the connection
     * @return the options
     */
    public static CallOptions onNewConnection(long connectTimeoutMillis) {
        return new CallOptions(TimeUnit.MILLISECONDS.toNanos(connectTimeoutMillis), 0, false, Optional.empty());
    }
}
