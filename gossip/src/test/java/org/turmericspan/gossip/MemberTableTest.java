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
    private static final AvailabilityZoneId HOME = new AvailabilityZoneId("zone-a");
    private static final AvailabilityZoneId AWAY = new AvailabilityZoneId("zone-b");

    private final ManualClock clock = new ManualClock();
    private final MemberTable table = new MemberTable(member("10.0.0.1", HOME, 1, true), clock, EventLog.none());

    private Member member(String host, AvailabilityZoneId zone, int incarnation, boolean ready) {
        SocketAddress address = new SocketAddress(host, 7000);
        return new Member(
                address, new SocketAddress(host, 8000), zone, incarnation, ready, false, true, clock.nowNanos());
    }

    private List<String> alive() {
        table.refresh();
        return table.aliveMembers().stream()
                .map(member -> member.address().host())
                .toList();
    }

    @Test
    void joinsThroughADigest() {
        assertThat(table.accept(List.of(member("10.0.0.2", HOME, 5, true)))).isTrue();
        assertThat(alive()).containsExactly("10.0.0.1", "10.0.0.2");
    }

    @Test
    void silentNodeOfTheZoneIsGoneWithinASecond() {
        table.accept(List.of(member("10.0.0.2", HOME, 5, true)));
        clock.advance(Duration.ofSeconds(1));
        assertThat(alive()).containsExactly("10.0.0.1");
    }

    @Test
    void silentNodeElsewhereIsGoneWithinThreeSeconds() {
        table.accept(List.of(member("10.0.0.2", AWAY, 5, true)));
        clock.advance(Duration.ofSeconds(1));
        assertThat(alive()).hasSize(2);
        clock.advance(Duration.ofSeconds(2));
        assertThat(alive()).hasSize(1);
    }

    @Test
    void oldNewsOfADeadNodeDoesNotReviveIt() {
        Member old = member("10.0.0.2", HOME, 5, true);
        table.accept(List.of(old));
        clock.advance(Duration.ofSeconds(2));
        table.accept(List.of(member("10.0.0.3", HOME, 6, true), old));
        assertThat(alive()).containsExactly("10.0.0.1", "10.0.0.3");
    }

    @Test
    void leavingStaysWithinAnIncarnation() {
        Member steady = member("10.0.0.2", HOME, 5, true);
        clock.advance(Duration.ofMillis(1));
        Member leaving =
                new Member(steady.address(), steady.callerAddress(), HOME, 5, true, true, true, clock.nowNanos());
        table.accept(List.of(leaving));
        clock.advance(Duration.ofMillis(1));
        table.accept(List.of(member("10.0.0.2", HOME, 5, true)));
        assertThat(table.rows(20)).anyMatch(Member::leaving);
        clock.advance(Duration.ofMillis(1));
        table.accept(List.of(member("10.0.0.2", HOME, 9, true)));
        assertThat(table.rows(20)).noneMatch(Member::leaving);
    }

    @Test
    void exactlyOneReadyNodeOfTheZoneOwnsAnUpstream() {
        table.accept(List.of(member("10.0.0.2", HOME, 5, true), member("10.0.0.3", AWAY, 5, true)));
        table.enableOwnership();
        MemberTable other = new MemberTable(member("10.0.0.2", HOME, 5, true), clock, EventLog.none());
        other.enableOwnership();
        other.accept(List.of(member("10.0.0.1", HOME, 1, true), member("10.0.0.3", AWAY, 5, true)));
        table.refresh();
        other.refresh();
        for (int i = 0; i < 50; i++) {
            Registration registration = registration("u-" + i, HOME);
            assertThat(table.ownership().owns(registration))
                    .isNotEqualTo(other.ownership().owns(registration));
            assertThat(table.ownership().owns(registration("u-" + i, AWAY))).isFalse();
        }
    }

    @Test
    void nodeOwnsNothingBeforeItHasJoined() {
        table.refresh();
        assertThat(table.ownership().owns(registration("u-1", HOME))).isFalse();
        table.enableOwnership();
        assertThat(table.ownership().owns(registration("u-1", HOME))).isTrue();
    }

    @Test
    void nodeThatIsNotReadyOwnsNothing() {
        table.enableOwnership();
        table.accept(List.of(member("10.0.0.2", HOME, 5, false)));
        for (int i = 0; i < 20; i++) {
            assertThat(table.ownership().owns(registration("u-" + i, HOME))).isTrue();
        }
    }

    private static Registration registration(String id, AvailabilityZoneId zone) {
        return new Registration(
                new UpstreamId(id), new ServiceId("desk"), new SocketAddress("10.9.0.1", 80), zone, 3, false, 1, 0);
    }

    private void joinMany(AvailabilityZoneId zone, int count) {
        for (int i = 0; i < count; i++) {
            table.accept(List.of(member("10.0.1." + i, zone, 5, true)));
        }
        table.refresh();
    }

    @Test
    void rowsAreBoundedAndTakeTurns() {
        joinMany(AWAY, 30);
        Set<String> told = new HashSet<>();
        for (int call = 0; call < 3; call++) {
            List<Member> rows = table.rows(10);
            assertThat(rows).hasSize(11);
            assertThat(rows.get(0).address().host()).isEqualTo("10.0.0.1");
            rows.forEach(row -> told.add(row.address().host()));
        }
        assertThat(told).hasSize(31);
    }

    @Test
    void nodesOfALargeZoneAreHeardLessOftenBeforeTheyCountAsGone() {
        joinMany(HOME, 30);
        clock.advance(Duration.ofMillis(1_500));
        assertThat(alive()).hasSize(31);
        clock.advance(Duration.ofMillis(1_500));
        assertThat(alive()).hasSize(1);
    }
}
