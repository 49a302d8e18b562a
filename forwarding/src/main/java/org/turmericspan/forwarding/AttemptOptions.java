package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.turmericspan.http.CallOptions;

/** Builds the connection options of an attempt. */
final class AttemptOptions {
    /** Maximum time to establish a connection; round trips between zones take milliseconds. */
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /**
     * Maximum idle time of a pooled connection for an idempotent attempt. The server's own idle timeout is shorter.
     */
    private static final long IDEMPOTENT_MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Shorter for a non-idempotent attempt, which cannot be retried when it is lost on an unresponsive connection. */
    private static final long NON_IDEMPOTENT_MAX_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private AttemptOptions() {}

    static CallOptions of(boolean idempotent, String correlationHeader) {
        long maxIdleNanos = idempotent ? IDEMPOTENT_MAX_IDLE_NANOS : NON_IDEMPOTENT_MAX_IDLE_NANOS;
        return new CallOptions(CONNECT_TIMEOUT_NANOS, maxIdleNanos, false, Optional.of(correlationHeader));
    }
}
