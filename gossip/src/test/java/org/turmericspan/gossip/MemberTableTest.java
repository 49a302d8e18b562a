package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.Registration;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

class MemberTableTest {
    private static final AvailabilityZoneId LOCAL_ZONE = new AvailabilityZoneId("zone-a");
    private static final AvailabilityZoneId REMOTE_ZONE = new AvailabilityZoneId("zone-b");

    private final ManualClock clock = new ManualClock();
    private final MemberTable table = new MemberTable(member("10.0.0.1", LOCAL_ZONE, 1, true), clock, EventLog.none());

    private Member member(String host, AvailabilityZoneId zone, int incarnation, boolean ready) {
        SocketAddress address = new SocketAddress(host, 7000);
        return new Member(
                address, new SocketAddress(host, 8000), zone, incarnation, ready, false, true, clock.nowNanos());
    }

    private List<String> alive() {
        table.detectFailures();
        return table.aliveMembers().stream()
                .map(member -> member.address().host())
                .toList();
    }

    @Test
    void nodeJoinsThroughGossipMessage() {
        assertThat(table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, true))))
                .isTrue();
        assertThat(alive()).containsExactly("10.0.0.1", "10.0.0.2");
    }

    @Test
    void silentNodeOfSameZoneFailsWithinOneSecond() {
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, true)));
        clock.advance(Duration.ofSeconds(1));
        assertThat(alive()).containsExactly("10.0.0.1");
    }

    @Test
    void failedNodeStaysKnownForOneMinute() {
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, true)));
        clock.advance(Duration.ofSeconds(59));
        assertThat(alive()).containsExactly("10.0.0.1");
        assertThat(table.knownMembers()).hasSize(2);
        clock.advance(Duration.ofSeconds(2));
        table.detectFailures();
        assertThat(table.knownMembers()).hasSize(1);
    }

    @Test
    void silentNodeOfOtherZoneFailsWithinThreeSeconds() {
        table.mergeAll(List.of(member("10.0.0.2", REMOTE_ZONE, 5, true)));
        clock.advance(Duration.ofSeconds(1));
        assertThat(alive()).hasSize(2);
        clock.advance(Duration.ofSeconds(2));
        assertThat(alive()).hasSize(1);
    }

    @Test
    void staleStateDoesNotReviveFailedNode() {
        Member stale = member("10.0.0.2", LOCAL_ZONE, 5, true);
        table.mergeAll(List.of(stale));
        clock.advance(Duration.ofSeconds(2));
        table.mergeAll(List.of(member("10.0.0.3", LOCAL_ZONE, 6, true), stale));
        assertThat(alive()).containsExactly("10.0.0.1", "10.0.0.3");
    }

    @Test
    void leavingIsNotResetWithinIncarnation() {
        Member serving = member("10.0.0.2", LOCAL_ZONE, 5, true);
        clock.advance(Duration.ofMillis(1));
        Member leaving = new Member(
                serving.address(), serving.callerAddress(), LOCAL_ZONE, 5, true, true, true, clock.nowNanos());
        table.mergeAll(List.of(leaving));
        clock.advance(Duration.ofMillis(1));
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, true)));
        assertThat(table.selectForGossip(20, 20)).anyMatch(Member::leaving);
        clock.advance(Duration.ofMillis(1));
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 9, true)));
        assertThat(table.selectForGossip(20, 20)).noneMatch(Member::leaving);
    }

    @Test
    void exactlyOneReadyNodeOfTheZoneOwnsEachUpstream() {
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, true), member("10.0.0.3", REMOTE_ZONE, 5, true)));
        table.enableOwnership();
        MemberTable other = new MemberTable(member("10.0.0.2", LOCAL_ZONE, 5, true), clock, EventLog.none());
        other.enableOwnership();
        other.mergeAll(List.of(member("10.0.0.1", LOCAL_ZONE, 1, true), member("10.0.0.3", REMOTE_ZONE, 5, true)));
        table.detectFailures();
        other.detectFailures();
        for (int i = 0; i < 50; i++) {
            Registration registration = registration("u-" + i, LOCAL_ZONE);
            assertThat(table.ownership().owns(registration))
                    .isNotEqualTo(other.ownership().owns(registration));
            assertThat(table.ownership().owns(registration("u-" + i, REMOTE_ZONE)))
                    .isFalse();
        }
    }

    @Test
    void nodeOwnsNothingBeforeOwnershipIsEnabled() {
        table.detectFailures();
        assertThat(table.ownership().owns(registration("u-1", LOCAL_ZONE))).isFalse();
        table.enableOwnership();
        assertThat(table.ownership().owns(registration("u-1", LOCAL_ZONE))).isTrue();
    }

    @Test
    void nodeThatIsNotReadyOwnsNothing() {
        table.enableOwnership();
        table.mergeAll(List.of(member("10.0.0.2", LOCAL_ZONE, 5, false)));
        for (int i = 0; i < 20; i++) {
            assertThat(table.ownership().owns(registration("u-" + i, LOCAL_ZONE)))
                    .isTrue();
        }
    }

    private static Registration registration(String id, AvailabilityZoneId zone) {
        return new Registration(
                new UpstreamId(id), new ServiceId("desk"), new SocketAddress("10.9.0.1", 80), zone, 3, false, 1, 0);
    }

    private void joinMany(AvailabilityZoneId zone, int count) {
        for (int i = 0; i < count; i++) {
            table.mergeAll(List.of(member("10.0.1." + i, zone, 5, true)));
        }
        table.detectFailures();
    }

    @Test
    void selectionIsBoundedAndCoversAllNodesInTurn() {
        joinMany(REMOTE_ZONE, 30);
        Set<String> selectedHosts = new HashSet<>();
        for (int call = 0; call < 3; call++) {
            List<Member> selected = table.selectForGossip(5, 10);
            assertThat(selected).hasSize(11);
            assertThat(selected.get(0).address().host()).isEqualTo("10.0.0.1");
            selected.forEach(member -> selectedHosts.add(member.address().host()));
        }
        assertThat(selectedHosts).hasSize(31);
    }

    @Test
    void remoteNodeOfLargeFleetIsKeptLongerThanItIsListed() {
        joinMany(LOCAL_ZONE, 30);
        table.mergeAll(List.of(member("10.0.2.1", REMOTE_ZONE, 5, true)));
        clock.advance(Duration.ofSeconds(5));
        table.mergeAll(List.of(member("10.0.1.1", LOCAL_ZONE, 5, true)));
        for (int i = 0; i < 30; i++) {
            table.mergeAll(List.of(member("10.0.1." + i, LOCAL_ZONE, 5, true)));
        }
        assertThat(alive()).contains("10.0.2.1");
        assertThat(table.heardWithin(Duration.ofMillis(4_500).toNanos()))
                .extracting(member -> member.address().host())
                .hasSize(31)
                .doesNotContain("10.0.2.1");
    }

    @Test
    void nodesOfLargeZoneFailAfterLongerTimeout() {
        joinMany(LOCAL_ZONE, 30);
        clock.advance(Duration.ofMillis(1_500));
        assertThat(alive()).hasSize(31);
        clock.advance(Duration.ofMillis(1_500));
        assertThat(alive()).hasSize(1);
    }
}
