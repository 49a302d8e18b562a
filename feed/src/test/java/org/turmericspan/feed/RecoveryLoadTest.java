package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** Guards against a node that lists the store without limit, since its lists do not end the need for one. */
class RecoveryLoadTest {
    private static final SocketAddress OTHER = new SocketAddress("10.0.0.1", 7_000);
    private static final Duration OBSERVED = Duration.ofSeconds(10);
    private static final long START_REVISION = 100;

    private final ChangeLimits limits = new ChangeLimits(Duration.ofSeconds(2));
    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final SimulatedStore store = new SimulatedStore(worker, clock);
    private final List<Set<AvailabilityZoneId>> evacuations = new ArrayList<>();
    private final StoreFeed feed = new StoreFeed(
            new StoreOnly(),
            store,
            (item, nowNanos) -> new StoreUpdate.Evacuation(new AvailabilityZoneId(item.key()), true),
            new EvacuationRecorder(),
            limits,
            worker,
            clock,
            new SplittableRandom(1),
            EventLog.none());

    /** Starts with a list of the start revision; from then on, watches find their revision compacted. */
    private void start(LongSupplier laterRevisions, StoreItem... laterItems) {
        store.onList(SimulatedStore.RESPONSE_MILLIS, () -> FeedFixture.storePage(START_REVISION));
        feed.start();
        worker.advance(Duration.ofMillis(SimulatedStore.RESPONSE_MILLIS));
        store.onList(
                SimulatedStore.RESPONSE_MILLIS, () -> FeedFixture.storePage(laterRevisions.getAsLong(), laterItems));
    }

    /** One list at once, then a pause that doubles from 5% to 40% of the limit before each further one. */
    private void assertThatListsAreSpaced() {
        worker.advance(OBSERVED);
        List<Long> listMillis = store.listMillis();
        assertThat(listMillis.size()).as("lists").isBetween(2, 16);
        long pauseMillis = limits.changeLimitMillis() / 20;
        for (int i = 1; i < listMillis.size(); i++) {
            assertThat(listMillis.get(i) - listMillis.get(i - 1))
                    .as("time between lists %s and %s", i - 1, i)
                    .isGreaterThanOrEqualTo(pauseMillis);
            pauseMillis = Math.min(2 * pauseMillis, limits.changeLimitMillis() * 40 / 100);
        }
    }

    @Test
    void listsAreSpacedWhileTheStoreIsBehindTheReplica() {
        start(() -> START_REVISION - 20);
        assertThatListsAreSpaced();
    }

    @Test
    void listsAreSpacedWhileTheStoreHasNothingNew() {
        start(() -> START_REVISION);
        assertThatListsAreSpaced();
    }

    @Test
    void listsAreSpacedWhileTheStoreGoesOn() {
        start(() -> START_REVISION + clock.nowNanos() / 1_000_000);
        assertThatListsAreSpaced();
    }

    /** The longest pause leaves more than half of the limit for the list and the way to the readers of this node. */
    @Test
    void changeIsInForceWithinTheLimitWhileTheStoreCanOnlyBeListed() {
        start(() -> START_REVISION + clock.nowNanos() / 1_000_000);
        worker.advance(OBSERVED);
        store.onList(
                SimulatedStore.RESPONSE_MILLIS,
                () -> FeedFixture.storePage(100_000, FeedFixture.evacuation("zone-a", 90_000)));
        worker.advance(limits.limit());
        assertThat(evacuations).containsOnly(Set.of(new AvailabilityZoneId("zone-a")));
    }

    @Test
    void listIsReadAtOnceAfterTheFirstCompactionInALongTime() {
        start(() -> START_REVISION);
        store.onWatch((source, afterRevision) -> FeedFixture.storePage(afterRevision));
        worker.advance(OBSERVED);
        store.onWatch((source, afterRevision) -> new StoreReadResult.RevisionCompacted());
        worker.advance(Duration.ofMillis(2 * SimulatedStore.RESPONSE_MILLIS));
        assertThat(store.listMillis()).hasSize(2);
    }

    /** The store only forgot its history, and a node that is ahead delivers more than the list that follows. */
    @Test
    void compactionCostsOneListAlthoughTheListIsOlderThanTheReplica() {
        start(() -> START_REVISION);
        store.onList(500, () -> FeedFixture.storePage(START_REVISION + 20));
        store.onWatch((source, afterRevision) -> {
            if (!source.isStore()) {
                return FeedFixture.page(START_REVISION + 30, 0, FeedFixture.evacuation("zone-a", START_REVISION + 30));
            }
            return afterRevision == START_REVISION
                    ? new StoreReadResult.RevisionCompacted()
                    : FeedFixture.storePage(START_REVISION + 31, FeedFixture.evacuation("zone-b", START_REVISION + 31));
        });
        worker.advance(Duration.ofMillis(410));
        new CatchUp(feed, limits, worker)
                .compare(
                        OTHER,
                        new ReplicaState(
                                new StorePosition(0, START_REVISION + 30), new StorePosition(0, START_REVISION), 0, 0));
        worker.advance(limits.limit());
        assertThat(store.listMillis()).hasSize(2);
        AvailabilityZoneId first = new AvailabilityZoneId("zone-a");
        assertThat(evacuations).containsExactly(Set.of(first), Set.of(first, new AvailabilityZoneId("zone-b")));
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
