package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreSource.Kind;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.testkit.ManualClock;

/** Which nodes of a fleet read the store, and who replaces them. */
class ReaderTreeSelectorTest {
    private static final SocketAddress STORE = new SocketAddress("10.9.9.9", 8_169);

    private final ManualClock clock = new ManualClock();

    private Member member(int index, int zones) {
        SocketAddress address = new SocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 7_000);
        AvailabilityZoneId zone = new AvailabilityZoneId("zone-" + index % zones);
        return new Member(
                address, new SocketAddress(address.host(), 8_000), zone, index, true, false, false, clock.nowNanos());
    }

    /** Creates the selector of each node of a fleet whose nodes all know each other. */
    private List<ReaderTreeSelector> fleet(int size, int zones) {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member(i, zones));
        }
        List<ReaderTreeSelector> selectors = new ArrayList<>();
        for (Member self : members) {
            MemberTable table = new MemberTable(self, clock, EventLog.none());
            table.mergeAll(members);
            table.detectFailures();
            selectors.add(new ReaderTreeSelector(STORE, table, clock, new SplittableRandom(1)));
        }
        return selectors;
    }

    private static long count(List<ReaderTreeSelector> fleet, Kind kind) {
        return fleet.stream().filter(node -> node.select().kind() == kind).count();
    }

    @Test
    void oneNodeReadsTheStoreWhateverTheSizeOfTheFleet() {
        for (int size : new int[] {4, 16, 152, 689}) {
            List<ReaderTreeSelector> fleet = fleet(size, 4);
            assertThat(count(fleet, Kind.STORE)).as("size " + size).isEqualTo(1);
            assertThat(count(fleet, Kind.STORE_READER)).isEqualTo(3);
            assertThat(count(fleet, Kind.ZONE_READER)).isEqualTo(size - 4);
        }
    }

    @Test
    void nodeThatKnowsNoOtherReadsTheStore() {
        assertThat(fleet(1, 1).get(0).select()).isEqualTo(new StoreSource(STORE, Kind.STORE));
    }

    @Test
    void nextReaderOfAZoneReplacesTheFirstAndTheFirstIsTriedAgainLater() {
        ReaderTreeSelector node = fleet(16, 4).stream()
                .filter(each -> each.select().kind() == Kind.ZONE_READER)
                .findFirst()
                .orElseThrow();
        StoreSource first = node.select();
        node.reportFailure(first, SourceFailure.UNRESPONSIVE);
        assertThat(node.select()).isNotEqualTo(first);
        clock.advance(Duration.ofMillis(2_001));
        assertThat(node.select()).isEqualTo(first);
    }

    @Test
    void anotherZonesReaderReplacesTheNodeThatTheStoreRejects() {
        List<ReaderTreeSelector> fleet = fleet(16, 4);
        ReaderTreeSelector reader = fleet.stream()
                .filter(each -> each.select().isStore())
                .findFirst()
                .orElseThrow();
        reader.reportFailure(reader.select(), SourceFailure.REJECTED);
        assertThat(reader.select().kind()).isEqualTo(Kind.STORE_READER);
    }

    @Test
    void nodesThatDoNotReadForTheirZoneNeverTurnToTheStore() {
        for (SourceFailure failure : SourceFailure.values()) {
            List<ReaderTreeSelector> fleet = fleet(152, 6);
            long turned = fleet.stream()
                    .filter(node -> {
                        for (int attempt = 0; attempt < 40; attempt++) {
                            StoreSource source = node.select();
                            if (source.isStore()) {
                                return true;
                            }
                            node.reportFailure(source, failure);
                        }
                        return false;
                    })
                    .count();
            assertThat(turned).as(failure.name()).isLessThanOrEqualTo(2 * 6);
        }
    }

    /** Fails each source in turn until the node delays its next read; returns the sources. */
    private static List<StoreSource> failAll(ReaderTreeSelector node, SourceFailure failure) {
        List<StoreSource> failed = new ArrayList<>();
        do {
            failed.add(node.select());
        } while (node.reportFailure(failed.get(failed.size() - 1), failure));
        return failed;
    }

    @Test
    void relaysWithoutContactAndTheStoreAreTriedAgainAfterEachDelay() {
        for (ReaderTreeSelector node : fleet(152, 6)) {
            List<StoreSource> first = failAll(node, SourceFailure.REJECTED);
            clock.advance(Duration.ofMillis(100));
            assertThat(failAll(node, SourceFailure.REJECTED)).containsExactlyInAnyOrderElementsOf(first);
            assertThat(first).doesNotHaveDuplicates().hasSizeLessThanOrEqualTo(2 + 6 + 1);
        }
    }

    @Test
    void relayThatDidNotRespondIsNotTriedAgainAfterADelay() {
        ReaderTreeSelector node = fleet(16, 4).stream()
                .filter(each -> each.select().kind() == Kind.ZONE_READER)
                .findFirst()
                .orElseThrow();
        StoreSource unresponsive = node.select();
        node.reportFailure(unresponsive, SourceFailure.UNRESPONSIVE);
        failAll(node, SourceFailure.REJECTED);
        clock.advance(Duration.ofMillis(100));
        assertThat(failAll(node, SourceFailure.REJECTED)).doesNotContain(unresponsive);
    }
}
