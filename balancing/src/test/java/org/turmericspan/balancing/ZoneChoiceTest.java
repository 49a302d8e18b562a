package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.zones.ServiceRoom;
import org.turmericspan.zones.ZonePreference;

/** Checks how the shares of the zones take part in the choice of an upstream, and how the room of a zone is counted. */
class ZoneChoiceTest {
    private static final AvailabilityZoneId THIRD_ZONE = new AvailabilityZoneId("zone-c");
    private static final int NORMAL = 100;

    private final ManualClock clock = new ManualClock();
    private final UpstreamTable table = new UpstreamTable(
            Samples.LOCAL_ZONE,
            registration -> true,
            Samples.RULES,
            new ConfigurationHolder(),
            clock,
            new SplittableRandom(1));
    private ZonePreference preference = ZonePreference.UNDECIDED;

    ZoneChoiceTest() {
        clock.advance(Duration.ofSeconds(1));
        table.shareZones((service, route, draw) -> preference);
    }

    private UpstreamId add(String id, AvailabilityZoneId zone, int running, int slowdownPercent) {
        Registration registration = Samples.registration(id, zone);
        table.register(registration);
        table.recordObservation(
                registration.id(), new Observation(clock.nowNanos(), running, 0, slowdownPercent, 0, true, true));
        return registration.id();
    }

    private UpstreamId chosen() {
        return table.choose(Samples.criteria()).map(Placement::upstream).orElseThrow();
    }

    private double room() {
        return table.localRooms().stream()
                .filter(room -> room.service().equals(Samples.SERVICE))
                .mapToDouble(ServiceRoom::slots)
                .findFirst()
                .orElse(-1);
    }

    @Test
    void requestThatLeavesGoesToItsZoneAlthoughTheLocalOneIsFree() {
        add("u-local", Samples.LOCAL_ZONE, 0, NORMAL);
        add("u-remote", Samples.REMOTE_ZONE, 0, NORMAL);
        UpstreamId third = add("u-third", THIRD_ZONE, 0, NORMAL);
        preference = ZonePreference.leave(THIRD_ZONE);
        assertThat(chosen()).isEqualTo(third);
    }

    @Test
    void requestThatLeavesStaysIfItsZoneCannotTakeIt() {
        UpstreamId local = add("u-local", Samples.LOCAL_ZONE, 0, NORMAL);
        add("u-third", THIRD_ZONE, 3, NORMAL);
        preference = ZonePreference.leave(THIRD_ZONE);
        assertThat(chosen()).isEqualTo(local);
    }

    @Test
    void requestDoesNotLeaveToAnEvacuatedZone() {
        UpstreamId local = add("u-local", Samples.LOCAL_ZONE, 0, NORMAL);
        add("u-third", THIRD_ZONE, 0, NORMAL);
        table.setEvacuated(Set.of(THIRD_ZONE));
        preference = ZonePreference.leave(THIRD_ZONE);
        assertThat(chosen()).isEqualTo(local);
    }

    @Test
    void requestThatStaysTakesANearlyFullUpstreamOfItsZone() {
        UpstreamId local = add("u-local", Samples.LOCAL_ZONE, 2, NORMAL);
        UpstreamId remote = add("u-remote", Samples.REMOTE_ZONE, 0, NORMAL);
        assertThat(chosen()).isEqualTo(remote);
        preference = ZonePreference.STAY;
        assertThat(chosen()).isEqualTo(local);
    }

    @Test
    void requestThatStaysTakesARemoteUpstreamIfNoLocalOneCanServeItInTime() {
        add("u-full", Samples.LOCAL_ZONE, 3, NORMAL);
        add("u-slow", Samples.LOCAL_ZONE, 0, 500);
        UpstreamId remote = add("u-remote", Samples.REMOTE_ZONE, 0, NORMAL);
        preference = ZonePreference.STAY;
        assertThat(chosen()).isEqualTo(remote);
    }

    @Test
    void candidatesOfTheZoneAreProbedBeforeARequestLeaves() {
        add("u-local", Samples.LOCAL_ZONE, 0, NORMAL);
        UpstreamId third = add("u-third", THIRD_ZONE, 0, NORMAL);
        clock.advance(Duration.ofMillis(500));
        preference = ZonePreference.leave(THIRD_ZONE);
        assertThat(table.candidatesToProbe(Samples.criteria()))
                .extracting(Registration::id)
                .containsExactly(third);
    }

    @Test
    void goodCandidateOfTheZoneThatWasJustObservedNeedsNoProbes() {
        add("u-third", THIRD_ZONE, 0, NORMAL);
        preference = ZonePreference.leave(THIRD_ZONE);
        clock.advance(Duration.ofMillis(500));
        add("u-third-2", THIRD_ZONE, 0, NORMAL);
        assertThat(table.candidatesToProbe(Samples.criteria())).isEmpty();
    }

    /** A node that has just started knows no load; the zone to which the request leaves may be full. */
    @Test
    void localCandidateIsProbedBesideAZoneThatIsNotKnownToBeGood() {
        Registration local = Samples.registration("u-local", Samples.LOCAL_ZONE);
        table.register(local);
        for (int i = 0; i < 3; i++) {
            table.register(Samples.registration("u-third-" + i, THIRD_ZONE));
        }
        preference = ZonePreference.leave(THIRD_ZONE);
        assertThat(table.candidatesToProbe(Samples.criteria()))
                .extracting(Registration::id)
                .contains(local.id())
                .hasSizeGreaterThan(1);
    }

    @Test
    void drawOfTheRequestReachesTheShares() {
        add("u-local", Samples.LOCAL_ZONE, 0, NORMAL);
        UpstreamId third = add("u-third", THIRD_ZONE, 0, NORMAL);
        table.shareZones((service, route, draw) -> draw < 0.5 ? ZonePreference.leave(THIRD_ZONE) : ZonePreference.STAY);
        SelectionCriteria leaving = new SelectionCriteria(
                new RouteId("r"), Samples.SERVICE, Set.of(), 2, Double.MAX_VALUE, Double.MAX_VALUE, 0.4);
        assertThat(table.choose(leaving).map(Placement::upstream)).contains(third);
        assertThat(chosen()).isEqualTo(new UpstreamId("u-local"));
    }

    @Test
    void roomIsDiscountedForSlowUpstreams() {
        add("u-1", Samples.LOCAL_ZONE, 0, NORMAL);
        add("u-2", Samples.LOCAL_ZONE, 0, 300);
        add("u-remote", Samples.REMOTE_ZONE, 0, NORMAL);
        assertThat(room()).isEqualTo(4.0);
    }

    @Test
    void upstreamsThatTakeNoRequestsHaveNoRoom() {
        UpstreamId unreachable = add("u-unreachable", Samples.LOCAL_ZONE, 0, NORMAL);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(unreachable, Observation.unreachable(clock.nowNanos(), 0));
        UpstreamId cold = add("u-cold", Samples.LOCAL_ZONE, 0, NORMAL);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(
                cold, new Observation(clock.nowNanos(), 0, 0, NORMAL, TimeUnit.SECONDS.toNanos(5), true, true));
        table.recordNotice(add("u-leaving", Samples.LOCAL_ZONE, 0, NORMAL), new ServingNotice(true, 0, false));
        table.register(draining("u-draining"));
        assertThat(room()).isZero();
        add("u-good", Samples.LOCAL_ZONE, 0, NORMAL);
        assertThat(room()).isEqualTo(3.0);
        table.setEvacuated(Set.of(Samples.LOCAL_ZONE));
        assertThat(room()).isZero();
    }

    private static Registration draining(String id) {
        return new Registration(
                new UpstreamId(id),
                Samples.SERVICE,
                new SocketAddress("10.0.0.1", 80),
                Samples.LOCAL_ZONE,
                3,
                true,
                1,
                Long.MIN_VALUE / 2);
    }

    @Test
    void roomIsUnknownWhileFewUpstreamsAreObserved() {
        add("u-1", Samples.LOCAL_ZONE, 0, NORMAL);
        table.register(Samples.registration("u-2", Samples.LOCAL_ZONE));
        assertThat(room()).isEqualTo(6.0);
        table.register(Samples.registration("u-3", Samples.LOCAL_ZONE));
        assertThat(table.localRooms()).isEmpty();
    }
}
