package org.turmericspan.balancing;

/** Share of failures among recent attempts; old attempts fade with a half-life. */
final class DecayingRate {
    private static final double HALF = 0.5;

    private final double halfLifeNanos;
    private double good;
    private double bad;
    private long atNanos;

    DecayingRate(long halfLifeNanos) {
        this.halfLifeNanos = halfLifeNanos;
    }

    void record(boolean failed, long nowNanos) {
        fade(nowNanos);
        if (failed) {
            bad++;
        } else {
            good++;
        }
    }

    /** Returns the share, with one imagined good attempt so that a single failure does not condemn. */
    double share(long nowNanos) {
        fade(nowNanos);
        return bad / (good + bad + 1);
    }

    private void fade(long nowNanos) {
        double factor = Math.pow(HALF, (nowNanos - atNanos) / halfLifeNanos);
        good *= factor;
        bad *= factor;
        atNanos = nowNanos;
    }
}
