package org.turmericspan.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.SocketAddress;

/** Demand, room and shares of one service in all zones. Guarded by the lock of {@link ZoneSharing}. */
final class ServiceZones {
    private final long serviceHash;
    private final AvailabilityZoneId localZone;
    private final ShareDecision decision;
    private final ZoneDemand demand = new ZoneDemand();
    private final Map<AvailabilityZoneId, ZoneReport> reports = new HashMap<>();
    private final SmoothedShares shares = new SmoothedShares();
    private final KindOrder kinds;
    private double loggedLeaving;

    ServiceZones(long serviceHash, AvailabilityZoneId localZone, CrossingCost cost) {
        this.serviceHash = serviceHash;
        this.localZone = localZone;
        this.decision = new ShareDecision(localZone, cost);
        this.kinds = new KindOrder(cost);
    }

    void begun(RequestKind kind, long nowNanos) {
        demand.begun(kind.workNanos(), nowNanos);
        kinds.begun(kind, nowNanos);
    }

    void answered(RouteId route, long bodyBytes) {
        kinds.answered(route, bodyBytes);
    }

    /** Records what another node tells. */
    void receive(SocketAddress node, AvailabilityZoneId zone, ServiceSummary summary, long nowNanos) {
        if (zone.equals(localZone)) {
            demand.tell(node, summary.ownDemandSlots(), nowNanos);
        }
        summary.zones().forEach(this::record);
    }

    private void record(ZoneReport report) {
        ZoneReport known = reports.get(report.zone());
        boolean isRoomForIt = known != null || reports.size() < ZoneSummary.MAX_ZONES;
        if (isRoomForIt && (known == null || report.atNanos() - known.atNanos() > 0)) {
            reports.put(report.zone(), report);
        }
    }

    /** Decides anew; the room of the local zone is empty while this node does not know it. */
    void refresh(Optional<Double> roomSlots, int nodes, long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.atNanos() > ShareDecision.FORGOTTEN_NANOS);
        roomSlots.ifPresent(
                slots -> record(new ZoneReport(localZone, demand.zoneSlots(nodes, nowNanos), slots, nowNanos)));
        shares.follow(decision.shares(reports.values(), nowNanos), nowNanos);
        ZoneReport local = reports.get(localZone);
        kinds.divide(shares.leaving(), local == null ? 0 : local.demandSlots() / local.roomSlots(), nowNanos);
    }

    ZonePreference preference(RouteId route, double draw) {
        if (!reports.containsKey(localZone)) {
            return ZonePreference.UNDECIDED;
        }
        double routeLeaving = kinds.leaving(route);
        if (draw >= routeLeaving) {
            return ZonePreference.STAY;
        }
        double position = draw / routeLeaving * shares.leaving();
        AvailabilityZoneId last = localZone;
        for (Map.Entry<AvailabilityZoneId, Double> share : shares.shares().entrySet()) {
            last = share.getKey();
            position -= share.getValue();
            if (position < 0) {
                break;
            }
        }
        return last.equals(localZone) ? ZonePreference.STAY : ZonePreference.leave(last);
    }

    ServiceSummary summary(long nowNanos) {
        List<ZoneReport> told = new ArrayList<>(reports.values());
        return new ServiceSummary(serviceHash, demand.ownSlots(nowNanos), told);
    }

    /** Returns whether there is nothing to tell of the service: no demand in the zone, and no report. */
    boolean isIdle(long nowNanos) {
        return reports.isEmpty() && demand.isIdle(nowNanos);
    }

    double leaving() {
        return shares.leaving();
    }

    /** Returns whether the share that leaves has changed by more than a step since this last returned true. */
    boolean isChangeToLog(double step) {
        if (Math.abs(shares.leaving() - loggedLeaving) <= step) {
            return false;
        }
        loggedLeaving = shares.leaving();
        return true;
    }

    List<ZoneReport> reports() {
        return List.copyOf(reports.values());
    }
}
