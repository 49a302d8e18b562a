package org.turmericspan.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** A feed that reads from a relay in simulated time, and records which evacuations it has learned. */
final class FeedFixture {
    static final StoreSource STORE = new StoreSource(new SocketAddress("10.0.0.9", 8_169), StoreSource.Kind.STORE);
    static final StoreSource RELAY =
            new StoreSource(new SocketAddress("10.0.0.8", 7_000), StoreSource.Kind.ZONE_READER);

    private final ChangeLimits limits = new ChangeLimits(Duration.ofSeconds(2));
    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final FakeReader reader = new FakeReader();
    private final List<StoreSource> news = new ArrayList<>();
    private final List<Set<AvailabilityZoneId>> evacuations = new ArrayList<>();
    private final StoreFeed feed = new StoreFeed(
            new RelayOnly(),
            reader,
            FeedFixture::decode,
            new EvacuationRecorder(),
            limits,
            worker,
            clock,
            new SplittableRandom(1),
            EventLog.none());

    /** Starts the feed with an empty list of this revision, after which it watches the relay. */
    void start(long revision) {
        feed.onNews(news::add);
        feed.start();
        reader.complete(RELAY, page(revision, 0));
    }

    ChangeLimits limits() {
        return limits;
    }

    ManualClock clock() {
        return clock;
    }

    ManualExecutor worker() {
        return worker;
    }

    FakeReader reader() {
        return reader;
    }

    List<StoreSource> news() {
        return news;
    }

    List<Set<AvailabilityZoneId>> evacuations() {
        return evacuations;
    }

    StoreFeed feed() {
        return feed;
    }

    /** Each item evacuates the zone of its key. */
    private static StoreUpdate decode(StoreItem item, long nowNanos) {
        return new StoreUpdate.Evacuation(new AvailabilityZoneId(item.key()), !item.isRemoved());
    }

    static StoreItem evacuation(String zone, long revision) {
        return new StoreItem(zone, new byte[0], new StorePosition(0, revision), false);
    }

    static StoreReadResult page(long revision, long contactAgeMillis, StoreItem... items) {
        return new StoreReadResult.Page(new StorePage(
                List.of(items), new StorePosition(0, revision), false, new RelayStatus(0, contactAgeMillis, 0)));
    }

    static StoreReadResult storePage(long revision, StoreItem... items) {
        return new StoreReadResult.Page(
                new StorePage(List.of(items), new StorePosition(0, revision), false, RelayStatus.STORE));
    }

    private static final class RelayOnly implements StoreSourceSelector {
        @Override
        public StoreSource select() {
            return RELAY;
        }

        @Override
        public boolean reportFailure(StoreSource source, SourceFailure failure) {
            return false;
        }
    }

    private final class EvacuationRecorder implements FleetListener {
        @Override
        public void onConfiguration(RoutingConfiguration configuration) {}

        @Override
        public void onRegistration(Registration registration) {}

        @Override
        public void onRemoval(UpstreamId id) {}

        @Override
        public void onEvacuation(Set<AvailabilityZoneId> zones) {
            evacuations.add(zones);
        }
    }
}
