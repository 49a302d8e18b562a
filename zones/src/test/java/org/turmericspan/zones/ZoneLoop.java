package org.turmericspan.zones;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntFunction;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.testkit.ManualClock;

/**
 * Closed loop of the decision: nodes of several zones that tell each other their summaries with a delay, callers that
 * send requests to the nodes of their zone, and slots of each zone. A request that finds the zone of its preference
 * full goes to the local zone, then to any zone with a free slot; if there is none, it is refused.
 */
final class ZoneLoop {
    static final int NODES_PER_ZONE = 3;
    static final ServiceId SERVICE = new ServiceId("orders");
    static final RouteId ROUTE = new RouteId("place");

    /** Usual work of a request. */
    static final double WORK_SECONDS = 0.1;

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int STEPS_PER_ROUND = 40;
    private static final long WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long TARGET_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    private static final long ROUND_TRIP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);
    private static final double CROSSING_PERCENT = 30;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ManualClock clock = new ManualClock();
    private final SplittableRandom random;
    private final long delayNanos;
    private final List<Zone> zones = new ArrayList<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>((first, second) -> Long.compare(first.atNanos, second.atNanos));
    private BiPredicate<Integer, Integer> link = (from, to) -> true;
    private boolean isRelaying = true;
    private IntFunction<DoubleUnaryOperator> alternative;
    private long step;

    ZoneLoop(int zoneCount, Duration delay, long seed) {
        delayNanos = delay.toNanos();
        random = new SplittableRandom(seed);
        for (int i = 0; i < zoneCount; i++) {
            zones.add(new Zone(i));
        }
    }

    /** Sets between which zones reports pass. */
    void link(BiPredicate<Integer, Integer> newLink) {
        link = newLink;
    }

    /**
     * Replaces the decision, for comparison.
     *
     * @param shares returns for the number of a zone the share that leaves it, evenly to all others, by the time in
     *     seconds
     */
    void decideBy(IntFunction<DoubleUnaryOperator> shares) {
        alternative = shares;
    }

    /** Makes the nodes tell of their own zone only. */
    void stopRelaying() {
        isRelaying = false;
    }

    Zone zone(int index) {
        return zones.get(index);
    }

    void run(Duration duration) {
        run(duration, () -> {});
    }

    /** Runs for a while, and calls a sampler after each round. */
    void run(Duration duration, Runnable sampler) {
        long steps = duration.toNanos() / STEP_NANOS;
        for (long i = 0; i < steps; i++) {
            clock.advance(Duration.ofNanos(STEP_NANOS));
            step++;
            deliver();
            zones.forEach(Zone::tell);
            zones.forEach(Zone::send);
            if (step % STEPS_PER_ROUND == 0) {
                sampler.run();
            }
        }
    }

    double seconds() {
        return clock.nowNanos() / NANOS_PER_SECOND;
    }

    void resetCounts() {
        zones.forEach(Zone::resetCounts);
    }

    int sent() {
        return zones.stream().mapToInt(zone -> zone.sent).sum();
    }

    int refused() {
        return zones.stream().mapToInt(zone -> zone.refused).sum();
    }

    /** Returns the number of requests whose preference was another zone. */
    int planned() {
        return zones.stream().mapToInt(zone -> zone.guests).sum();
    }

    /** Returns the number of requests that were served in another zone, by preference or as a last resort. */
    int crossed() {
        return zones.stream().mapToInt(zone -> zone.crossed).sum();
    }

    private void deliver() {
        while (!deliveries.isEmpty() && deliveries.peek().atNanos <= clock.nowNanos()) {
            Delivery delivery = deliveries.remove();
            delivery.to.receive(delivery.from, delivery.fromZone, delivery.summary);
        }
    }

    private record Delivery(
            long atNanos, SocketAddress from, AvailabilityZoneId fromZone, ZoneSummary summary, ZoneSharing to) {}

    /** A zone: its callers, its nodes and its slots. */
    final class Zone implements LocalZone {
        private final int index;
        private final AvailabilityZoneId id;
        private final List<ZoneSharing> nodes = new ArrayList<>();
        private final PriorityQueue<Long> endsNanos = new PriorityQueue<>();
        private double demandSlots;
        private int slots;
        private int sent;
        private int refused;
        private int crossed;
        private int guests;

        Zone(int index) {
            this.index = index;
            this.id = new AvailabilityZoneId("zone-" + index);
            for (int i = 0; i < NODES_PER_ZONE; i++) {
                CrossingCost cost = new CrossingCost(CROSSING_PERCENT, ROUND_TRIP_NANOS);
                nodes.add(new ZoneSharing(id, cost, this, clock, EventLog.none()));
            }
        }

        Zone demand(double newDemandSlots) {
            demandSlots = newDemandSlots;
            return this;
        }

        Zone room(int newSlots) {
            slots = newSlots;
            return this;
        }

        /** Returns the mean over the nodes of the share that leaves. */
        double leaving() {
            return nodes.stream()
                            .mapToDouble(node -> node.leavingPercents().getOrDefault(SERVICE.value(), 0.0))
                            .sum()
                    / NODES_PER_ZONE
                    / 100;
        }

        /** Returns the number of requests of other zones whose preference was this zone. */
        int guests() {
            return guests;
        }

        int sentRequests() {
            return sent;
        }

        /** Returns the number of requests of this zone's callers that were served in another zone. */
        int crossedRequests() {
            return crossed;
        }

        @Override
        public List<ServiceRoom> rooms() {
            return List.of(new ServiceRoom(SERVICE, slots));
        }

        @Override
        public int nodes() {
            return NODES_PER_ZONE;
        }

        private void resetCounts() {
            sent = 0;
            refused = 0;
            crossed = 0;
            guests = 0;
        }

        private void tell() {
            for (int i = 0; i < NODES_PER_ZONE; i++) {
                int phase = (index * NODES_PER_ZONE + i) * 3 % STEPS_PER_ROUND;
                if (step % STEPS_PER_ROUND == phase) {
                    nodes.get(i).refresh();
                    ZoneSummary summary = nodes.get(i).summary();
                    tell(i, isRelaying ? summary : withoutRelayed(summary));
                }
            }
        }

        private ZoneSummary withoutRelayed(ZoneSummary summary) {
            return new ZoneSummary(summary.services().stream()
                    .map(service -> new ServiceSummary(
                            service.serviceHash(),
                            service.ownDemandSlots(),
                            service.zones().stream()
                                    .filter(report -> report.zone().equals(id))
                                    .toList()))
                    .toList());
        }

        private void tell(int node, ZoneSummary summary) {
            SocketAddress address = new SocketAddress("10.0." + index + "." + node, 7_700);
            for (Zone other : zones) {
                for (int i = 0; i < NODES_PER_ZONE; i++) {
                    boolean isTold = other == this ? i != node : i == random.nextInt(NODES_PER_ZONE);
                    if (isTold && link.test(index, other.index)) {
                        long atNanos = clock.nowNanos() + (long) (delayNanos * (0.75 + random.nextDouble() / 2));
                        deliveries.add(new Delivery(atNanos, address, id, summary, other.nodes.get(i)));
                    }
                }
            }
        }

        private void send() {
            double mean = demandSlots * STEP_NANOS / WORK_NANOS;
            for (int i = poisson(mean); i > 0; i--) {
                sent++;
                ZoneSharing node = nodes.get(random.nextInt(NODES_PER_ZONE));
                node.begun(SERVICE, () -> new RequestKind(ROUTE, WORK_NANOS, TARGET_NANOS, 0));
                Zone preferred = alternative != null
                        ? alternativeZone()
                        : node.preference(SERVICE, ROUTE, random.nextDouble())
                                .remoteZone()
                                .map(zone -> zones.stream()
                                        .filter(candidate -> candidate.id.equals(zone))
                                        .findFirst()
                                        .orElseThrow())
                                .orElse(this);
                place(preferred);
            }
        }

        private Zone alternativeZone() {
            if (random.nextDouble() >= alternative.apply(index).applyAsDouble(seconds())) {
                return this;
            }
            return zones.get((index + 1 + random.nextInt(zones.size() - 1)) % zones.size());
        }

        /** Returns the part of the slots that are busy. */
        double utilization() {
            isFree();
            return (double) endsNanos.size() / slots;
        }

        private void place(Zone preferred) {
            preferred.guests += preferred == this ? 0 : 1;
            if (!preferred.takes(this) && !takes(this) && zones.stream().noneMatch(zone -> zone.takes(this))) {
                refused++;
            }
        }

        private boolean isFree() {
            while (!endsNanos.isEmpty() && endsNanos.peek() <= clock.nowNanos()) {
                endsNanos.remove();
            }
            return endsNanos.size() < slots;
        }

        private boolean takes(Zone from) {
            if (!isFree()) {
                return false;
            }
            endsNanos.add(clock.nowNanos() + (long) (WORK_NANOS * (0.5 + random.nextDouble())));
            if (from != this) {
                from.crossed++;
            }
            return true;
        }

        private int poisson(double mean) {
            double limit = Math.exp(-mean);
            int count = 0;
            for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
                count++;
            }
            return count;
        }
    }
}
