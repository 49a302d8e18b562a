package org.turmericspan.publication;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes the delay between two reads of one key: short after a response, growing exponentially after failures. Both
 * delays have full jitter.
 */
final class ReadBackoff {
    /** Maximum delay after a response. */
    static final Duration MAX_DELAY_AFTER_RESPONSE = Duration.ofMillis(200);
    /** Maximum delay after failures. */
    static final Duration MAX_BACKOFF = Duration.ofSeconds(10);

    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;

    ReadBackoff(RandomGenerator random) {
        this.random = random;
    }

    Duration afterResponse() {
        failures = 0;
        return jitter(MAX_DELAY_AFTER_RESPONSE);
    }

    Duration afterFailure() {
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        Duration limit = MAX_DELAY_AFTER_RESPONSE.multipliedBy(1L << failures);
        return jitter(limit.compareTo(MAX_BACKOFF) < 0 ? limit : MAX_BACKOFF);
    }

    private Duration jitter(Duration limit) {
        return Duration.ofNanos(1 + random.nextLong(limit.toNanos()));
    }
}
