package org.turmericspan.zones;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.AvailabilityZoneId;

/**
 * Shares by zone that follow their targets smoothly. They begin to leave only for an overflow that is clear, and hold
 * still while the targets change little, so that noise in the measured demand moves no requests. A zone that is no
 * longer a target is left quickly. Guarded by its user's lock.
 */
final class SmoothedShares {
    /** Share above which the first work leaves. */
    private static final double START_SHARE = 0.05;
    /** Share below which no work leaves any more. */
    private static final double END_SHARE = 0.02;
    /** Change of the targets below which the shares hold still, summed over the zones. */
    private static final double HOLD_CHANGE = 0.04;
    /** Difference from the targets at which moving shares hold still again. */
    private static final double REACHED_CHANGE = 0.005;

    /** Difference from the targets, summed over the zones, from which it is a change and not noise. */
    private static final double CLEAR_CHANGE = 0.1;
    /** Share of a zone by its target from which it is too large, however small it is: the zone may be small as well. */
    private static final double MAX_EXCESS_FACTOR = 1.25;
    /** Time constant with which the shares follow a clear change. */
    private static final double FAST_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Time constant with which they follow a small one. */
    private static final double SLOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private Map<AvailabilityZoneId, Double> shares = Map.of();
    private long movedNanos = Long.MIN_VALUE;
    private boolean isMoving;

    /** Moves towards the targets. */
    void follow(Map<AvailabilityZoneId, Double> targets, long nowNanos) {
        Map<AvailabilityZoneId, Double> wanted =
                sum(targets) < (shares.isEmpty() ? START_SHARE : END_SHARE) ? Map.of() : targets;
        double elapsedNanos = movedNanos == Long.MIN_VALUE ? 0 : nowNanos - movedNanos;
        movedNanos = nowNanos;
        double distance = distance(wanted);
        isMoving = distance > (isMoving ? REACHED_CHANGE : HOLD_CHANGE);
        double fastWeight = weight(elapsedNanos, FAST_NANOS);
        double slowWeight = weight(elapsedNanos, SLOW_NANOS);
        double weight = distance > CLEAR_CHANGE ? fastWeight : isMoving ? slowWeight : 0;
        Map<AvailabilityZoneId, Double> moved = new HashMap<>();
        for (AvailabilityZoneId zone : zones(wanted)) {
            double old = share(zone);
            double target = wanted.getOrDefault(zone, 0.0);
            double leastWeight = old > MAX_EXCESS_FACTOR * target ? slowWeight : 0;
            double share = old + (target > 0 ? Math.max(weight, leastWeight) : fastWeight) * (target - old);
            if (target > 0 || share > REACHED_CHANGE) {
                moved.put(zone, share);
            }
        }
        shares = Map.copyOf(moved);
    }

    private static double weight(double elapsedNanos, double timeConstantNanos) {
        return 1 - Math.exp(-elapsedNanos / timeConstantNanos);
    }

    /** Returns the current share of each zone. */
    Map<AvailabilityZoneId, Double> shares() {
        return shares;
    }

    /** Returns the share that leaves. */
    double leaving() {
        return sum(shares);
    }

    private double distance(Map<AvailabilityZoneId, Double> targets) {
        double distance = 0;
        for (AvailabilityZoneId zone : zones(targets)) {
            distance += Math.abs(targets.getOrDefault(zone, 0.0) - share(zone));
        }
        return distance;
    }

    private Set<AvailabilityZoneId> zones(Map<AvailabilityZoneId, Double> targets) {
        Set<AvailabilityZoneId> zones = new HashSet<>(targets.keySet());
        zones.addAll(shares.keySet());
        return zones;
    }

    private double share(AvailabilityZoneId zone) {
        return shares.getOrDefault(zone, 0.0);
    }

    private static double sum(Map<AvailabilityZoneId, Double> shares) {
        double sum = 0;
        for (double share : shares.values()) {
            sum += share;
        }
        return sum;
    }
}
