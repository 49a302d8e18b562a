package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** Pages of a list are no snapshot: an item of a later page may be newer than the revision of the list. */
class ListPagesTest {
    private static final SocketAddress OTHER = new SocketAddress("10.0.0.1", 7_000);
    private static final StoreSource AHEAD = new StoreSource(OTHER, StoreSource.Kind.NODE_AHEAD);

    private final ChangeLimits limits = new ChangeLimits(Duration.ofSeconds(2));
    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final FakeReader reader = new FakeReader();
    private final List<Boolean> draining = new ArrayList<>();
    private final StoreFeed feed = new StoreFeed(
            new StoreOnly(),
            reader,
            ListPagesTest::decode,
            new DrainingRecorder(),
            limits,
            worker,
            clock,
            new SplittableRandom(1),
            EventLog.none());

    private static StoreUpdate decode(StoreItem item, long nowNanos) {
        return new StoreUpdate.Registered(new Registration(
                new UpstreamId(item.key()),
                new ServiceId("desk"),
                new SocketAddress("10.0.0.5", 80),
                new AvailabilityZoneId("zone-a"),
                3,
                item.value().length > 0,
                0,
                0));
    }

    private static StoreItem server(String key, long revision, boolean isDraining) {
        return new StoreItem(key, new byte[isDraining ? 1 : 0], new StorePosition(0, revision), false);
    }

    private void listInTwoPages() {
        feed.start();
        reader.complete(
                FeedFixture.STORE,
                new StoreReadResult.Page(new StorePage(
                        List.of(server("i-1", 5, false)), new StorePosition(0, 20), true, RelayStatus.STORE)));
        reader.complete(FeedFixture.STORE, FeedFixture.storePage(30, server("i-2", 28, true)));
    }

    /** A node between the two revisions does not have the change, so it must not be confirmed. */
    @Test
    void changeOfALaterPageCountsAmongTheChangesThatTheNodeTells() {
        listInTwoPages();
        assertThat(Math.max(
                        feed.changePosition().revision(), feed.listPosition().revision()))
                .isGreaterThanOrEqualTo(28);
    }

    /** The node has read that the server drains; a node ahead of its list still has the state before. */
    @Test
    void drainingServerOfALaterPageDoesNotBecomeReadyAgain() {
        listInTwoPages();
        new CatchUp(feed, limits, worker)
                .compare(OTHER, new ReplicaState(new StorePosition(0, 25), new StorePosition(0, 0), 0, 0));
        worker.advance(Duration.ofMillis(101));
        reader.complete(AHEAD, FeedFixture.page(26, 0, server("i-2", 25, false)));
        assertThat(draining).isNotEmpty().doesNotContain(false);
    }

    private static final class StoreOnly implements StoreSourceSelector {
        @Override
        public StoreSource select() {
            return FeedFixture.STORE;
        }

        @Override
        public boolean reportFailure(StoreSource source, SourceFailure failure) {
            return false;
        }
    }

    private final class DrainingRecorder implements FleetListener {
        @Override
        public void onConfiguration(RoutingConfiguration configuration) {}

        @Override
        public void onRegistration(Registration registration) {
            if (registration.id().value().equals("i-2")) {
                draining.add(registration.draining());
            }
        }

        @Override
        public void onRemoval(UpstreamId id) {}

        @Override
        public void onEvacuation(Set<AvailabilityZoneId> zones) {}
    }
}
