package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.testkit.ManualClock;

/** Nodes of a fleet that has just started have different positions, though none is known to be ready. */
class RestartedFleetPositionTest {
    @Test
    void notAllNodesOfAStartedFleetAskTheStoreFirst() {
        ManualClock clock = new ManualClock();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < 152; i++) {
            SocketAddress address = new SocketAddress("10.0.0." + (1 + i), 7_000);
            members.add(new Member(
                    address,
                    new SocketAddress(address.host(), 8_000),
                    new AvailabilityZoneId("zone-" + i % 6),
                    i,
                    false,
                    false,
                    false,
                    clock.nowNanos()));
        }
        long first = members.stream()
                .filter(self -> {
                    MemberTable table = new MemberTable(self, clock, EventLog.none());
                    table.mergeAll(members);
                    table.detectFailures();
                    SocketAddress store = new SocketAddress("10.9.9.9", 8_169);
                    return new ReaderTreeSelector(store, table, clock, new SplittableRandom(1))
                                    .position()
                                    .rank()
                            == 0;
                })
                .count();
        assertThat(first).isLessThanOrEqualTo(2);
    }
}
