package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

class UpstreamTableTest {
    private final ManualClock clock = new ManualClock();
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private boolean owner = true;
    private final UpstreamTable table = new UpstreamTable(
            Samples.HOME, registration -> owner, Samples.RULES, configuration, clock, new SplittableRandom(1));

    UpstreamTableTest() {
        configuration.accept(Samples.configuration(1));
    }

    private UpstreamId add(String id, int slowPercent) {
        Registration registration = Samples.registration(id, Samples.HOME);
        table.register(registration);
        table.observe(registration.id(), Samples.observation(clock.nowNanos(), slowPercent));
        return registration.id();
    }

    private Optional<UpstreamId> chosen() {
        return table.choose(Samples.choice()).map(Placement::upstream);
    }

    @Test
    void upstreamThatNobodyObservedGetsNothing() {
        table.register(Samples.registration("u-1", Samples.HOME));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void upstreamThatNobodyObservedIsAskedWhereTheKnownAreFull() {
        UpstreamId full = add("u-full", 100);
        table.observe(full, new Observation(clock.nowNanos() + 1, 9, 9, 100, 0, true, true));
        table.register(Samples.registration("u-unknown", Samples.HOME));

        assertThat(table.candidatesToProbe(Samples.choice()))
                .extracting(Registration::id)
                .containsExactly(new UpstreamId("u-unknown"));
    }

    @Test
    void upstreamThatNobodyObservedIsNotAskedWhereAKnownOneIsFree() {
        add("u-free", 100);
        table.register(Samples.registration("u-unknown", Samples.HOME));

        assertThat(table.candidatesToProbe(Samples.choice())).isEmpty();
    }

    @Test
    void slowUpstreamIsPassedOver() {
        add("u-slow", 400);
        UpstreamId fast = add("u-fast", 100);
        assertThat(chosen()).hasValue(fast);
    }

    @Test
    void requestsSpreadOverEqualUpstreams() {
        UpstreamId first = add("u-1", 100);
        UpstreamId second = add("u-2", 100);
        assertThat(Set.of(chosen().orElseThrow(), chosen().orElseThrow())).containsExactlyInAnyOrder(first, second);
    }

    @Test
    void lastSlotOfAFastUpstreamIsBetterThanASlowOneWhileTheServiceIsCalm() {
        UpstreamId fast = add("u-fast", 100);
        add("u-slow-1", 400);
        add("u-slow-2", 400);
        clock.advance(Duration.ofMillis(1));
        table.observe(fast, new Observation(clock.nowNanos(), 2, 0, 100, 0, true, true));

        assertThat(chosen()).hasValue(fast);
    }

    @Test
    void evacuatedUpstreamsDoNotMakeABusyServiceLookCalm() {
        UpstreamId busy = add("u-busy", 100);
        for (int i = 0; i < 3; i++) {
            Registration away = Samples.registration("u-away-" + i, new AvailabilityZoneId("away"));
            table.register(away);
            table.observe(away.id(), Samples.observation(clock.nowNanos(), 100));
        }
        table.setEvacuated(Set.of(new AvailabilityZoneId("away")));
        clock.advance(Duration.ofMillis(1));
        table.observe(busy, new Observation(clock.nowNanos(), 2, 0, 100, 0, true, true));

        assertThat(chosen()).isEmpty();
    }

    @Test
    void roomTellsWhyARequestFindsNoUpstream() {
        UpstreamId full = add("u-full", 100);
        table.register(Samples.registration("u-unknown", Samples.HOME));
        clock.advance(Duration.ofMillis(1));
        table.observe(full, new Observation(clock.nowNanos(), 3, 0, 100, 0, true, true));

        assertThat(table.capacity(Samples.choice())).isEqualTo(new ServiceCapacity(2, 0, 1.0));
    }

    @Test
    void drainingUpstreamGetsNothing() {
        UpstreamId id = add("u-1", 100);
        Registration old = table.registration(id).orElseThrow();
        table.register(new Registration(
                id, old.service(), old.address(), old.availabilityZone(), 3, true, 1, old.coldUntilNanos()));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void evacuatedZoneGetsNothingUntilItIsTakenBack() {
        UpstreamId id = add("u-1", 100);
        table.setEvacuated(Set.of(Samples.HOME));
        assertThat(chosen()).isEmpty();
        table.setEvacuated(Set.of());
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void coldUpstreamIsLeftToItsOwner() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.observe(id, new Observation(clock.nowNanos(), 0, 0, 100, 2_000_000_000L, true, true));
        owner = false;
        assertThat(chosen()).isEmpty();
        owner = true;
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void ownerKeepsHalfOfTheColdBoundInAnySecond() {
        UpstreamId id = add("u-1", 100);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(10));
            table.observe(id, new Observation(clock.nowNanos(), 0, 0, 100, 2_000_000_000L, true, true));
            Optional<Placement> placement = table.choose(Samples.choice());
            sent += placement.isPresent() ? 1 : 0;
            placement.ifPresent(place -> table.finish(place, AttemptResult.SUCCESS));
        }
        assertThat(sent).isBetween(1, (int) ((8 * 1.5 + 5) / 2));
    }

    @Test
    void observationThatAgedTooMuchNoLongerProvesWarmth() {
        add("u-1", 100);
        clock.advance(Duration.ofSeconds(4));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void restartUnderTheSameIdentifierForgetsWhatWasKnown() {
        UpstreamId id = add("u-1", 100);
        Registration old = table.registration(id).orElseThrow();
        table.register(new Registration(
                id, old.service(), old.address(), old.availabilityZone(), 3, false, 2, old.coldUntilNanos()));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void upstreamThatCannotBeReachedRests() {
        UpstreamId id = add("u-1", 100);
        table.recordReachability(id, false);
        assertThat(chosen()).isEmpty();
        table.recordReachability(id, true);
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void failingUpstreamIsAvoided() {
        UpstreamId bad = add("u-bad", 100);
        for (int i = 0; i < 5; i++) {
            table.finish(table.choose(Samples.choice()).orElseThrow(), AttemptResult.SERVER_ERROR);
        }
        UpstreamId good = add("u-good", 200);
        assertThat(chosen()).hasValue(good).isNotEqualTo(Optional.of(bad));
    }

    @Test
    void upstreamThatItsOwnerCannotReachGetsNothing() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.applyPeerReports(
                "10.0.0.9:1",
                List.of(new PeerReport(StableHash.of(id.value()), Observation.unreachable(clock.nowNanos(), 0), 0, 0)));
        assertThat(chosen()).isEmpty();
        clock.advance(Duration.ofMillis(1));
        table.observe(id, Samples.observation(clock.nowNanos(), 100));
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void requestsOfPeersCountAsLoad() {
        UpstreamId busy = add("u-1", 100);
        UpstreamId idle = add("u-2", 100);
        table.applyPeerReports(
                "10.0.0.9:1",
                List.of(new PeerReport(
                        StableHash.of(busy.value()), Samples.observation(clock.nowNanos() - 1, 100), 3, 0)));
        assertThat(chosen()).hasValue(idle);
    }

    @Test
    void onlyOwnFindingsAreToldWithinTheZone() {
        UpstreamId own = add("u-own", 100);
        Registration other = Samples.registration("u-other", Samples.HOME);
        table.register(other);
        table.applyPeerReports(
                "peer",
                List.of(new PeerReport(StableHash.of("u-other"), Samples.observation(clock.nowNanos(), 100), 2, 0)));
        long second = Duration.ofSeconds(1).toNanos();
        assertThat(table.localReports(second))
                .extracting(PeerReport::upstreamHash)
                .containsExactly(StableHash.of(own.value()));
        assertThat(table.reports(registration -> true)).hasSize(2);
    }

    @Test
    void requestUnderWayIsToldThoughItsUpstreamWasSeenByOthersOnly() {
        Registration other = Samples.registration("u-other", Samples.HOME);
        table.register(other);
        table.applyPeerReports(
                "peer",
                List.of(new PeerReport(StableHash.of("u-other"), Samples.observation(clock.nowNanos(), 100), 0, 0)));
        assertThat(chosen()).hasValue(other.id());
        assertThat(table.localReports(1)).extracting(PeerReport::inFlight).containsExactly(1);
    }

    @Test
    void failuresOfAnUpstreamDoNotMakeItsRouteLookQuick() {
        add("u-1", 100);
        for (int i = 0; i < 3; i++) {
            table.finish(table.choose(Samples.choice()).orElseThrow(), AttemptResult.SERVER_ERROR);
        }
        Placement placement = table.choose(Samples.choice()).orElseThrow();
        clock.advance(Duration.ofMillis(100));
        table.finish(placement, AttemptResult.SUCCESS);

        assertThat(table.typicalLatencyNanos(placement.route()))
                .isEqualTo(Duration.ofMillis(100).toNanos());
    }

    @Test
    void fullUpstreamIsNoSlowOne() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.observe(id, new Observation(clock.nowNanos(), 3, 0, 100, 0, true, true));
        SelectionCriteria urgent =
                new SelectionCriteria(new RouteId("r"), Samples.SERVICE, Set.of(), 0, Double.MAX_VALUE, 1.5);

        assertThat(table.choose(urgent)).isPresent();
    }

    @Test
    void upstreamTooSlowForTheDeadlineGetsNothing() {
        add("u-1", 1_200);
        SelectionCriteria criteria =
                new SelectionCriteria(new RouteId("r"), Samples.SERVICE, Set.of(), 0, Double.MAX_VALUE, 11);

        assertThat(table.choose(criteria)).isEmpty();
    }
}
