package org.turmericspan.publication;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Decides the pause between two reads of one key: short after an answer, with full jitter after failures. */
final class ReadBackoff {
    /** Longest pause after an answer. */
    static final Duration PAUSE = Duration.ofMillis(200);
    /** Longest pause after failures. */
    static final Duration LONGEST = Duration.ofSeconds(10);

    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;

    ReadBackoff(RandomGenerator random) {
        this.random = random;
    }

    Duration afterAnswer() {
        failures = 0;
        return jitter(PAUSE);
    }

    Duration afterFailure() {
        failures = Math.min(failures + 1, MAX_DOUBLINGS);
        Duration limit = PAUSE.multipliedBy(1L << failures);
        return jitter(limit.compareTo(LONGEST) < 0 ? limit : LONGEST);
    }

    private Duration jitter(Duration limit) {
        return Duration.ofNanos(1 + random.nextLong(limit.toNanos()));
    }
}
