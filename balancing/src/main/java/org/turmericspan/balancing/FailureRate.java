package org.turmericspan.balancing;

/** Failure rate of recent attempts, whose weights decay exponentially with their age. */
final class FailureRate {
    private static final double HALF = 0.5;

    private final double halfLifeNanos;
    private double successes;
    private double failures;
    private long decayedNanos;

    FailureRate(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void record(boolean failed, long nowNanos) {
        decay(nowNanos);
        if (failed) {
            failures++;
        } else {
            successes++;
        }
    }

    /** Returns the rate from 0 to 1. One success is added, so that a single failure yields at most 0.5. */
    double rate(long nowNanos) {
        if (failures == 0) {
            return 0;
        }
        decay(nowNanos);
        return failures / (successes + failures + 1);
    }

    private void decay(long nowNanos) {
        double factor = Math.pow(HALF, (nowNanos - decayedNanos) / halfLifeNanos);
        successes *= factor;
        failures *= factor;
        decayedNanos = nowNanos;
    }
}
