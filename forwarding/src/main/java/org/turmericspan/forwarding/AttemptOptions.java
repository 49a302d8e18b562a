package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.turmericspan.http.CallOptions;

/** Chooses the connection of an attempt. */
final class AttemptOptions {
    /** Longest wait for a connection; round trips between zones take milliseconds. */
    private static final long CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Idle time up to which an idempotent attempt uses a kept connection; the server's own limit is shorter. */
    private static final long IDEMPOTENT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** The same for other attempts, whose loss with a silent connection cannot be repaired. */
    private static final long ONCE_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private AttemptOptions() {}

    static CallOptions of(boolean idempotent, String echoHeader) {
        long idleNanos = idempotent ? IDEMPOTENT_IDLE_NANOS : ONCE_IDLE_NANOS;
        return new CallOptions(CONNECT_NANOS, idleNanos, false, Optional.of(echoHeader));
    }
}
