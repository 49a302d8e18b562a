package org.turmericspan.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Shares the work of the callers of this node's zone with other zones when the zone has too little room for it. Answers
 * the load of a zone whose callers surge, or whose upstreams are lost, while others have room.
 */
public final class ZoneSharing implements ZoneShares, ZoneExchange, RequestObserver {
    /** Maximum number of services whose state is kept. */
    private static final int MAX_KNOWN_SERVICES = 1_024;
    /** Change of a share that is logged. */
    private static final double LOGGED_CHANGE = 0.1;

    private static final double PERCENT = 100.0;

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<Long, ServiceZones> servicesByHash = new HashMap<>();
    private final Map<ServiceId, ServiceZones> servicesById = new HashMap<>();
    private final AvailabilityZoneId zone;
    private final CrossingCost cost;
    private final LocalZone localZone;
    private final MonotonicClock clock;
    private final EventLog log;
    private long messagesTold;

    /**
     * Creates the sharing of a node.
     *
     * @param zone availability zone of the node
     * @param cost cost of serving a request in another zone
     * @param localZone room and nodes of the zone
     * @param clock monotonic time
     * @param log log for changes of the shares
     */
    public ZoneSharing(
            AvailabilityZoneId zone, CrossingCost cost, LocalZone localZone, MonotonicClock clock, EventLog log) {
        this.zone = zone;
        this.cost = cost;
        this.localZone = localZone;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void begun(ServiceId service, Supplier<RequestKind> kind) {
        RequestKind request = kind.get();
        long now = clock.nowNanos();
        lock.run(() -> find(service).ifPresent(zones -> zones.begun(request, now)));
    }

    @Override
    public void answered(ServiceId service, RouteId route, long bodyBytes) {
        lock.run(() -> find(service).ifPresent(zones -> zones.answered(route, bodyBytes)));
    }

    @Override
    public ZonePreference preference(ServiceId service, RouteId route, double draw) {
        return lock.compute(() -> {
            ServiceZones zones = servicesById.get(service);
            return zones == null ? ZonePreference.UNDECIDED : zones.preference(route, draw);
        });
    }

    @Override
    public void receive(SocketAddress node, AvailabilityZoneId nodeZone, ZoneSummary summary) {
        long now = clock.nowNanos();
        lock.run(() -> {
            for (ServiceSummary service : summary.services()) {
                find(service.serviceHash()).ifPresent(zones -> zones.receive(node, nodeZone, service, now));
            }
        });
    }

    @Override
    public void refresh() {
        List<ServiceRoom> rooms = localZone.rooms();
        int nodes = localZone.nodes();
        long now = clock.nowNanos();
        lock.compute(() -> refresh(rooms, nodes, now)).forEach(log::write);
    }

    private List<Event> refresh(List<ServiceRoom> rooms, int nodes, long now) {
        Map<Long, Double> slotsByHash = new HashMap<>();
        for (ServiceRoom room : rooms) {
            find(room.service()).ifPresent(zones -> slotsByHash.put(hash(room.service()), room.slots()));
        }
        servicesByHash.forEach((hash, zones) -> zones.refresh(Optional.ofNullable(slotsByHash.get(hash)), nodes, now));
        servicesByHash.values().removeIf(zones -> zones.isIdle(now));
        servicesById.values().removeIf(zones -> zones.isIdle(now));
        List<Event> changes = new ArrayList<>();
        servicesById.forEach((service, zones) -> {
            if (zones.isChangeToLog(LOGGED_CHANGE)) {
                changes.add(Event.notice("zones", "Share of work that leaves the zone changed.")
                        .with("service", service)
                        .with("leavingPercent", Math.round(PERCENT * zones.leaving()))
                        .with("reports", describe(zones, now)));
            }
        });
        return changes;
    }

    private static String describe(ServiceZones zones, long now) {
        StringBuilder text = new StringBuilder();
        for (ZoneReport report : zones.reports()) {
            text.append(text.isEmpty() ? "" : " ")
                    .append(report.zone())
                    .append(" demand=")
                    .append(Math.round(report.demandSlots()))
                    .append(" room=")
                    .append(Math.round(report.roomSlots()))
                    .append(" ageMs=")
                    .append(TimeUnit.NANOSECONDS.toMillis(now - report.atNanos()));
        }
        return text.toString();
    }

    @Override
    public ZoneSummary summary() {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            List<ServiceZones> known = new ArrayList<>(servicesByHash.values());
            int told = Math.min(ZoneSummary.MAX_SERVICES, known.size());
            int firstTold = firstTold(known.size());
            List<ServiceSummary> services = new ArrayList<>(told);
            for (int i = 0; i < told; i++) {
                services.add(known.get((firstTold + i) % known.size()).summary(now));
            }
            return new ZoneSummary(services);
        });
    }

    /**
     * Returns the position of the first service of a message. All services are told in turn, each turn in another
     * order, so that messages of a kind that is every second or third one tell of all services too.
     */
    private int firstTold(int services) {
        int messages = Math.max(1, (services + ZoneSummary.MAX_SERVICES - 1) / ZoneSummary.MAX_SERVICES);
        long order = StableHash.combine(messagesTold / messages, services);
        long position = (messagesTold % messages + Math.floorMod(order, messages)) % messages;
        messagesTold++;
        return (int) position * ZoneSummary.MAX_SERVICES;
    }

    /**
     * Returns the share of the work of each service that leaves the zone.
     *
     * @return shares in percent by service, sorted by its name
     */
    public Map<String, Double> leavingPercents() {
        return lock.compute(() -> {
            Map<String, Double> percents = new TreeMap<>();
            servicesById.forEach((service, zones) -> percents.put(service.value(), PERCENT * zones.leaving()));
            return percents;
        });
    }

    /**
     * Returns the age of the youngest report of each zone.
     *
     * @return ages in milliseconds by zone, sorted by its name
     */
    public Map<String, Long> reportAgesMillis() {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            Map<String, Long> ages = new TreeMap<>();
            for (ServiceZones zones : servicesByHash.values()) {
                for (ZoneReport report : zones.reports()) {
                    long ageMillis = TimeUnit.NANOSECONDS.toMillis(now - report.atNanos());
                    ages.merge(report.zone().value(), ageMillis, Math::min);
                }
            }
            return ages;
        });
    }

    private Optional<ServiceZones> find(ServiceId service) {
        ServiceZones known = servicesById.get(service);
        if (known != null) {
            return Optional.of(known);
        }
        Optional<ServiceZones> added = find(hash(service));
        added.ifPresent(zones -> servicesById.put(service, zones));
        return added;
    }

    private Optional<ServiceZones> find(long serviceHash) {
        ServiceZones known = servicesByHash.get(serviceHash);
        if (known == null && servicesByHash.size() < MAX_KNOWN_SERVICES) {
            known = new ServiceZones(serviceHash, zone, cost);
            servicesByHash.put(serviceHash, known);
        }
        return Optional.ofNullable(known);
    }

    private static long hash(ServiceId service) {
        return StableHash.of(service.value());
    }
}
