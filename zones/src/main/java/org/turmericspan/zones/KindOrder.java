package org.turmericspan.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.RouteId;

/**
 * Divides the share of a service that leaves over the kinds of its requests, so that crossing costs least when zones
 * share work: long work with few bytes leaves first; large bodies and requests whose target leaves little time stay.
 * Guarded by its user's lock.
 */
final class KindOrder {
    /** Weight of a new sample in the averages of a kind. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** Time in which the weight of the work of a kind fades to a third. */
    private static final double FADE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Faded work below which a kind is forgotten, some half a minute after its last request. */
    private static final double FORGOTTEN_WORK_NANOS = TimeUnit.MICROSECONDS.toNanos(100);
    /** Maximum number of kinds; the requests of others stay. */
    private static final int MAX_KINDS = 256;

    private final Map<RouteId, Kind> kinds = new HashMap<>();
    private final CrossingCost cost;
    private Map<RouteId, Double> leavingByRoute = Map.of();

    KindOrder(CrossingCost cost) {
        this.cost = cost;
    }

    void begun(RequestKind request, long nowNanos) {
        Kind kind = kinds.get(request.route());
        if (kind == null) {
            if (kinds.size() >= MAX_KINDS) {
                return;
            }
            kind = new Kind(request, nowNanos);
            kinds.put(request.route(), kind);
        }
        kind.begin(request, nowNanos);
    }

    void answered(RouteId route, long bodyBytes) {
        Kind kind = kinds.get(route);
        if (kind != null) {
            kind.answerBytes += SAMPLE_WEIGHT * (bodyBytes - kind.answerBytes);
        }
    }

    /**
     * Divides a share anew.
     *
     * @param leaving share of the work of the service that leaves
     * @param utilization demand of the zone by its room
     * @param nowNanos monotonic time
     */
    void divide(double leaving, double utilization, long nowNanos) {
        double workSum = 0;
        double bytesSum = 0;
        for (Kind kind : kinds.values()) {
            kind.fade(nowNanos);
            workSum += kind.work;
            bytesSum += kind.work * kind.bytes();
        }
        kinds.values().removeIf(kind -> kind.work < FORGOTTEN_WORK_NANOS);
        if (leaving <= 0 || workSum <= 0) {
            leavingByRoute = Map.of();
            return;
        }
        double meanBytes = Math.max(1, bytesSum / workSum);
        List<PricedKind> order = new ArrayList<>();
        for (Map.Entry<RouteId, Kind> entry : kinds.entrySet()) {
            insert(order, new PricedKind(entry.getKey(), entry.getValue().work, price(entry.getValue(), meanBytes)));
        }
        leavingByRoute = fill(order, leaving * workSum, ShareDecision.slowdown(utilization));
    }

    private static void insert(List<PricedKind> order, PricedKind kind) {
        int position = order.size();
        while (position > 0 && kind.price < order.get(position - 1).price) {
            position--;
        }
        order.add(position, kind);
    }

    private static Map<RouteId, Double> fill(List<PricedKind> order, double leavingWork, double gain) {
        Map<RouteId, Double> shares = new HashMap<>();
        double remainingWork = leavingWork;
        for (PricedKind kind : order) {
            if (kind.work > 0 && remainingWork > 0 && kind.price < gain) {
                shares.put(kind.route, Math.min(1, remainingWork / kind.work));
                remainingWork -= kind.work;
            }
        }
        return shares;
    }

    /** Returns the price of crossing as a multiple of the usual work. */
    private double price(Kind kind, double meanBytes) {
        double slackNanos = kind.targetNanos - kind.workNanos;
        if (kind.workNanos <= 0 || slackNanos <= cost.roundTripNanos()) {
            return Double.POSITIVE_INFINITY;
        }
        return cost.factor() * kind.bytes() / meanBytes
                + cost.roundTripNanos() / kind.workNanos
                + cost.roundTripNanos() / slackNanos;
    }

    /** Returns the share of the requests of a route that leaves. */
    double leaving(RouteId route) {
        return leavingByRoute.getOrDefault(route, 0.0);
    }

    /** Averages of the requests of one route. */
    private static final class Kind {
        private double work;
        private double workNanos;
        private double targetNanos;
        private double requestBytes;
        private double answerBytes;
        private long fadedNanos;

        Kind(RequestKind first, long nowNanos) {
            workNanos = first.workNanos();
            targetNanos = first.targetNanos();
            requestBytes = first.bodyBytes();
            fadedNanos = nowNanos;
        }

        void begin(RequestKind request, long nowNanos) {
            fade(nowNanos);
            work += request.workNanos();
            workNanos = request.workNanos();
            targetNanos = request.targetNanos();
            requestBytes += SAMPLE_WEIGHT * (request.bodyBytes() - requestBytes);
        }

        void fade(long nowNanos) {
            work *= Math.exp(-(nowNanos - fadedNanos) / FADE_NANOS);
            fadedNanos = nowNanos;
        }

        double bytes() {
            return requestBytes + answerBytes;
        }
    }

    /** A kind with its work and the price of crossing. */
    private record PricedKind(RouteId route, double work, double price) {}
}
