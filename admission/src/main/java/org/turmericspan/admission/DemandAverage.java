package org.turmericspan.admission;

import org.turmericspan.ids.MonotonicClock;

/** Number of requests in flight of one priority, averaged over the last seconds and over the last moment. */
final class DemandAverage {
    /** Time constant of the demand that a reserve is based on. */
    private static final double DEMAND_NANOS = 3e9;
    /** Time constant of the demand at the moment; longer than most requests take. */
    private static final double PRESENT_NANOS = 3e8;

    private final MonotonicClock clock;
    private int inFlight;
    private double mean;
    private double present;
    private long updatedNanos;

    DemandAverage(MonotonicClock clock) {
        this.clock = clock;
        this.updatedNanos = clock.nowNanos();
    }

    void change(int difference) {
        update();
        inFlight = Math.max(0, inFlight + difference);
    }

    /** Returns the mean over the last seconds. */
    double mean() {
        update();
        return mean;
    }

    /** Returns the mean over the last moment. */
    double present() {
        update();
        return present;
    }

    private void update() {
        long now = clock.nowNanos();
        long elapsedNanos = now - updatedNanos;
        if (elapsedNanos > 0) {
            mean = average(mean, elapsedNanos / DEMAND_NANOS);
            present = average(present, elapsedNanos / PRESENT_NANOS);
            updatedNanos = now;
        }
    }

    private double average(double average, double elapsed) {
        double weight = Math.exp(-elapsed);
        return weight * average + (1 - weight) * inFlight;
    }
}
