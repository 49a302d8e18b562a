package org.turmericspan.feed;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tenancy.TenantDirectory;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** A feed in simulated time that reads from a source of the test's choice, and the fleet that it has in force. */
final class FleetFixture {
    static final String CONFIGURATION = "config";
    /** Start time of the upstreams, unless a test says otherwise. */
    static final long STARTED_MILLIS = 1_000;

    private static final String UPSTREAM_PREFIX = "servers/";
    private static final String ZONE_PREFIX = "evacuate/";

    private final ChangeLimits limits = new ChangeLimits(Duration.ofSeconds(2));
    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final FakeReader reader = new FakeReader();
    private final Map<String, String> upstreams = new TreeMap<>();
    private final Set<String> evacuatedZones = new TreeSet<>();
    private final List<Long> versions = new ArrayList<>();
    private final Set<String> seenUpstreamStates = new HashSet<>();
    private StoreSource source = FeedFixture.STORE;
    private final StoreFeed feed;

    FleetFixture() {
        feed = createFeed();
    }

    private StoreFeed createFeed() {
        return new StoreFeed(
                new ChosenSource(),
                reader,
                FleetFixture::decode,
                new FleetRecorder(),
                limits,
                worker,
                clock,
                new SplittableRandom(1),
                EventLog.none());
    }

    /** Starts the feed, which lists these items of the store and then watches. */
    void start(StorePosition position, StoreItem... items) {
        feed.start();
        complete(position, items);
        advance(Duration.ofMillis(400));
    }

    /** Completes the oldest read of the chosen source with a page of it. */
    void complete(StorePosition position, StoreItem... items) {
        complete(page(source, position, items));
    }

    /** Completes the oldest read of the chosen source, which may begin only after a pause. */
    void complete(StoreReadResult result) {
        for (long i = 0; i < limits.changeLimitMillis() && !reader.pending().contains(source); i++) {
            advance(Duration.ofMillis(1));
        }
        reader.complete(source, result);
        advance(Duration.ofMillis(1));
    }

    /** Completes a watch of the store, which tells of a later era, and the list that follows. */
    void restore(StorePosition position, StoreItem... items) {
        complete(position);
        complete(position, items);
    }

    void advance(Duration duration) {
        worker.advance(duration);
    }

    /** Chooses the source of the reads that begin from now on. */
    void choose(StoreSource chosen) {
        source = chosen;
    }

    /** Goes on with another source after the pending read has ended without changes. */
    void switchTo(StoreSource next) {
        StoreSource previous = source;
        source = next;
        reader.complete(previous, page(previous, feed.position()));
        advance(Duration.ofMillis(1));
    }

    StoreFeed feed() {
        return feed;
    }

    FakeReader reader() {
        return reader;
    }

    ChangeLimits limits() {
        return limits;
    }

    ManualExecutor worker() {
        return worker;
    }

    /** Returns the upstreams in force, each with its state. */
    Map<String, String> upstreams() {
        return upstreams;
    }

    /** Returns all states in which upstreams were in force since the last call, as id and state. */
    Set<String> takeSeenUpstreamStates() {
        Set<String> seen = Set.copyOf(seenUpstreamStates);
        seenUpstreamStates.clear();
        return seen;
    }

    Set<String> evacuatedZones() {
        return evacuatedZones;
    }

    /** Returns the versions of the configurations that were put in force, oldest first. */
    List<Long> versions() {
        return versions;
    }

    static StorePosition at(long era, long revision) {
        return new StorePosition(era, revision);
    }

    static StoreReadResult page(StoreSource source, StorePosition position, StoreItem... items) {
        RelayStatus status = source.isStore() ? RelayStatus.STORE : new RelayStatus(0, 0, 0);
        return new StoreReadResult.Page(new StorePage(List.of(items), position, false, status));
    }

    static StoreReadResult truncatedPage(StorePosition position, StoreItem... items) {
        return new StoreReadResult.Page(new StorePage(List.of(items), position, true, RelayStatus.STORE));
    }

    static StoreItem ready(String id, StorePosition position) {
        return upstream(id, "ready", STARTED_MILLIS, position);
    }

    static StoreItem draining(String id, StorePosition position) {
        return upstream(id, "draining", STARTED_MILLIS, position);
    }

    static StoreItem upstream(String id, String state, long startedMillis, StorePosition position) {
        return item(UPSTREAM_PREFIX + id, state + " " + startedMillis, position);
    }

    static StoreItem upstreamRemoval(String id, StorePosition position) {
        return removal(UPSTREAM_PREFIX + id, position);
    }

    static StoreItem configuration(long version, StorePosition position) {
        return item(CONFIGURATION, Long.toString(version), position);
    }

    static StoreItem evacuation(String zone, StorePosition position) {
        return item(ZONE_PREFIX + zone, "", position);
    }

    static StoreItem evacuationRemoval(String zone, StorePosition position) {
        return removal(ZONE_PREFIX + zone, position);
    }

    static StoreItem item(String key, String value, StorePosition position) {
        return new StoreItem(key, value.getBytes(StandardCharsets.UTF_8), position, false);
    }

    private static StoreItem removal(String key, StorePosition position) {
        return new StoreItem(key, new byte[0], position, true);
    }

    private static StoreUpdate decode(StoreItem item, long nowNanos) {
        String value = new String(item.value(), StandardCharsets.UTF_8);
        if (item.key().equals(CONFIGURATION)) {
            return item.isRemoved()
                    ? new StoreUpdate.Ignored()
                    : new StoreUpdate.Configuration(new RoutingConfiguration(
                            Long.parseLong(value), List.of(), Map.of(), RequestLimits.DEFAULT, TenantDirectory.NONE));
        }
        if (item.key().startsWith(ZONE_PREFIX)) {
            return new StoreUpdate.Evacuation(
                    new AvailabilityZoneId(item.key().substring(ZONE_PREFIX.length())), !item.isRemoved());
        }
        if (!item.key().startsWith(UPSTREAM_PREFIX)) {
            return new StoreUpdate.Ignored();
        }
        UpstreamId id = new UpstreamId(item.key().substring(UPSTREAM_PREFIX.length()));
        return item.isRemoved()
                ? new StoreUpdate.Unregistered(id)
                : new StoreUpdate.Registered(registration(id, value.split(" ")));
    }

    private static Registration registration(UpstreamId id, String[] stateAndStart) {
        return new Registration(
                id,
                new ServiceId("desk"),
                new SocketAddress("10.0.0.5", 80),
                new AvailabilityZoneId("zone-a"),
                3,
                stateAndStart[0].equals("draining"),
                Long.parseLong(stateAndStart[1]),
                0);
    }

    private final class ChosenSource implements StoreSourceSelector {
        @Override
        public StoreSource select() {
            return source;
        }

        @Override
        public boolean reportFailure(StoreSource failed, SourceFailure failure) {
            return false;
        }
    }

    private final class FleetRecorder implements FleetListener {
        @Override
        public void onConfiguration(RoutingConfiguration configuration) {
            versions.add(configuration.version());
        }

        @Override
        public void onRegistration(Registration registration) {
            String state = registration.draining() ? "draining" : "ready";
            upstreams.put(registration.id().value(), state);
            seenUpstreamStates.add(registration.id().value() + " " + state);
        }

        @Override
        public void onRemoval(UpstreamId id) {
            upstreams.remove(id.value());
            seenUpstreamStates.add(id.value() + " removed");
        }

        @Override
        public void onEvacuation(Set<AvailabilityZoneId> zones) {
            evacuatedZones.clear();
            zones.forEach(zone -> evacuatedZones.add(zone.value()));
        }
    }
}
