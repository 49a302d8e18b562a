package org.turmericspan.zones;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.AvailabilityZoneId;

/**
 * Decides which share of the demand of a zone leaves it, and to which zones, when a zone has more demand than room
 * while others have room to spare. Each zone keeps what it serves well; the overflow of all zones is divided over the
 * spare room in proportion to it, and never exceeds it. All nodes that know the same reports decide the same.
 *
 * <p>The demand that reports tell does not depend on where requests are served, so that the decision has no feedback,
 * whatever the age of the reports.
 */
final class ShareDecision {
    /** Utilization up to which a zone offers its room to others; above it, upstreams slow down. */
    static final double OFFERED_UTILIZATION = 0.8;
    /** Slowdown at full utilization, as a part of the usual work. */
    static final double FULL_SLOWDOWN = 0.6;
    /** Age up to which a report counts in full. */
    static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Age from which a zone gets nothing; its room fades until then. */
    static final long SILENT_NANOS = TimeUnit.SECONDS.toNanos(6);
    /** Age from which a silent zone is no longer expected to use the room of others. */
    static final long FORGOTTEN_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** Additional slowdown for each unit of utilization beyond the room, for the wait of a queue that grows. */
    private static final double QUEUE_FACTOR = 10;

    private final AvailabilityZoneId localZone;
    private final double keptUtilization;

    /**
     * Creates the decision of a zone.
     *
     * @param localZone the zone
     * @param cost cost of crossing; the higher, the fuller a zone gets before work leaves
     */
    ShareDecision(AvailabilityZoneId localZone, CrossingCost cost) {
        this.localZone = localZone;
        this.keptUtilization =
                OFFERED_UTILIZATION + (1 - OFFERED_UTILIZATION) * Math.sqrt(Math.min(1, cost.factor() / FULL_SLOWDOWN));
    }

    /**
     * Returns the share of the local demand that is to go to each other zone.
     *
     * @param reports newest report of each zone
     * @param nowNanos monotonic time
     * @return shares above 0 by zone; they add up to at most 1
     */
    Map<AvailabilityZoneId, Double> shares(Collection<ZoneReport> reports, long nowNanos) {
        double localDemand = 0;
        double localOverflow = 0;
        double overflow = 0;
        double largestOverflow = 0;
        double spare = 0;
        for (ZoneReport report : reports) {
            double zoneOverflow = overflow(report);
            if (report.zone().equals(localZone)) {
                localDemand = report.demandSlots();
                localOverflow = zoneOverflow;
            }
            if (!isSilent(report, nowNanos)) {
                overflow += zoneOverflow;
                largestOverflow = Math.max(largestOverflow, zoneOverflow);
            }
            spare += offered(report, nowNanos);
        }
        if (localOverflow <= 0 || spare <= 0) {
            return Map.of();
        }
        for (ZoneReport report : reports) {
            if (isSilent(report, nowNanos) && nowNanos - report.atNanos() < FORGOTTEN_NANOS) {
                overflow += Math.max(largestOverflow, overflow(report));
            }
        }
        double leaving = localOverflow * Math.min(1, spare / Math.max(overflow, localOverflow)) / localDemand;
        Map<AvailabilityZoneId, Double> shares = new HashMap<>();
        for (ZoneReport report : reports) {
            double offered = offered(report, nowNanos);
            if (offered > 0) {
                shares.put(report.zone(), leaving * offered / spare);
            }
        }
        return shares;
    }

    /** Returns the additional duration of a request at a utilization, as a part of the usual work. */
    static double slowdown(double utilization) {
        if (utilization <= OFFERED_UTILIZATION) {
            return 0;
        }
        double fullness = (utilization - OFFERED_UTILIZATION) / (1 - OFFERED_UTILIZATION);
        return FULL_SLOWDOWN * Math.pow(Math.min(1, fullness), 2) + QUEUE_FACTOR * Math.max(0, utilization - 1);
    }

    private double overflow(ZoneReport report) {
        return Math.max(0, report.demandSlots() - keptUtilization * report.roomSlots());
    }

    /** Returns the room that a zone has beyond the need of its own callers. */
    private double offered(ZoneReport report, long nowNanos) {
        if (report.zone().equals(localZone)) {
            return 0;
        }
        double spare = Math.max(0, OFFERED_UTILIZATION * report.roomSlots() - report.demandSlots());
        long ageNanos = nowNanos - report.atNanos();
        double trust = (double) (SILENT_NANOS - ageNanos) / (SILENT_NANOS - FRESH_NANOS);
        return spare * Math.min(1, Math.max(0, trust));
    }

    private boolean isSilent(ZoneReport report, long nowNanos) {
        return !report.zone().equals(localZone) && nowNanos - report.atNanos() >= FRESH_NANOS;
    }
}
