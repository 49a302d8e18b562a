package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
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
    private boolean isOwner = true;
    private final UpstreamTable table = new UpstreamTable(
            Samples.LOCAL_ZONE, registration -> isOwner, Samples.RULES, configuration, clock, new SplittableRandom(1));

    UpstreamTableTest() {
        configuration.accept(Samples.configuration(1));
    }

    private UpstreamId add(String id, int slowdownPercent) {
        Registration registration = Samples.registration(id, Samples.LOCAL_ZONE);
        table.register(registration);
        table.recordObservation(registration.id(), Samples.observation(clock.nowNanos(), slowdownPercent));
        return registration.id();
    }

    private Optional<UpstreamId> chosen() {
        return table.choose(Samples.criteria()).map(Placement::upstream);
    }

    @Test
    void upstreamThatNobodyObservedGetsNoRequests() {
        table.register(Samples.registration("u-1", Samples.LOCAL_ZONE));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void upstreamThatNobodyObservedIsProbedIfTheObservedOnesAreFull() {
        UpstreamId full = add("u-full", 100);
        table.recordObservation(full, new Observation(clock.nowNanos() + 1, 9, 9, 100, 0, true, true));
        table.register(Samples.registration("u-unknown", Samples.LOCAL_ZONE));

        assertThat(table.candidatesToProbe(Samples.criteria()))
                .extracting(Registration::id)
                .containsExactly(new UpstreamId("u-unknown"));
    }

    @Test
    void upstreamThatNobodyObservedIsNotProbedIfAnObservedOneIsFree() {
        add("u-free", 100);
        table.register(Samples.registration("u-unknown", Samples.LOCAL_ZONE));

        assertThat(table.candidatesToProbe(Samples.criteria())).isEmpty();
    }

    @Test
    void fastUpstreamIsPreferredToASlowOne() {
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
    void lastSlotOfAFastUpstreamIsPreferredToASlowOneAtLowUtilization() {
        UpstreamId fast = add("u-fast", 100);
        add("u-slow-1", 400);
        add("u-slow-2", 400);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(fast, new Observation(clock.nowNanos(), 2, 0, 100, 0, true, true));

        assertThat(chosen()).hasValue(fast);
    }

    @Test
    void evacuatedUpstreamsDoNotLowerTheUtilizationOfAService() {
        UpstreamId busy = add("u-busy", 100);
        for (int i = 0; i < 3; i++) {
            Registration remote = Samples.registration("u-remote-" + i, new AvailabilityZoneId("remote"));
            table.register(remote);
            table.recordObservation(remote.id(), Samples.observation(clock.nowNanos(), 100));
        }
        table.setEvacuated(Set.of(new AvailabilityZoneId("remote")));
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(busy, new Observation(clock.nowNanos(), 2, 0, 100, 0, true, true));

        assertThat(chosen()).isEmpty();
    }

    @Test
    void capacityShowsWhyNoUpstreamIsSelected() {
        UpstreamId full = add("u-full", 100);
        table.register(Samples.registration("u-unknown", Samples.LOCAL_ZONE));
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(full, new Observation(clock.nowNanos(), 3, 0, 100, 0, true, true));

        assertThat(table.capacity(Samples.criteria())).isEqualTo(new ServiceCapacity(2, 0, 1.0));
    }

    @Test
    void drainingUpstreamGetsNoRequests() {
        UpstreamId id = add("u-1", 100);
        Registration old = table.registration(id).orElseThrow();
        table.register(new Registration(
                id, old.service(), old.address(), old.availabilityZone(), 3, true, 1, old.coldUntilNanos()));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void evacuatedZoneGetsNoRequestsUntilTheEvacuationEnds() {
        UpstreamId id = add("u-1", 100);
        table.setEvacuated(Set.of(Samples.LOCAL_ZONE));
        assertThat(chosen()).isEmpty();
        table.setEvacuated(Set.of());
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void coldUpstreamGetsRequestsFromItsOwnerOnly() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(id, new Observation(clock.nowNanos(), 0, 0, 100, 2_000_000_000L, true, true));
        isOwner = false;
        assertThat(chosen()).isEmpty();
        isOwner = true;
        assertThat(chosen()).hasValue(id);
    }

    @Test
    void ownerKeepsHalfOfTheColdRateLimitInAnySecond() {
        UpstreamId id = add("u-1", 100);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            clock.advance(Duration.ofMillis(10));
            table.recordObservation(id, new Observation(clock.nowNanos(), 0, 0, 100, 2_000_000_000L, true, true));
            Optional<Placement> placement = table.choose(Samples.criteria());
            sent += placement.isPresent() ? 1 : 0;
            placement.ifPresent(place -> table.finish(place, AttemptResult.SUCCESS));
        }
        assertThat(sent).isBetween(1, (int) ((8 * 1.5 + 5) / 2));
    }

    @Test
    void upstreamWithAnExpiredObservationGetsNoRequests() {
        add("u-1", 100);
        clock.advance(Duration.ofSeconds(4));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void restartUnderTheSameIdentifierDiscardsTheObservation() {
        UpstreamId id = add("u-1", 100);
        Registration old = table.registration(id).orElseThrow();
        table.register(new Registration(
                id, old.service(), old.address(), old.availabilityZone(), 3, false, 2, old.coldUntilNanos()));
        assertThat(chosen()).isEmpty();
    }

    @Test
    void unreachableUpstreamIsInBackoffUntilAConnectionSucceeds() {
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
            table.finish(table.choose(Samples.criteria()).orElseThrow(), AttemptResult.SERVER_ERROR);
        }
        UpstreamId good = add("u-good", 200);
        assertThat(chosen()).hasValue(good).isNotEqualTo(Optional.of(bad));
    }

    @Test
    void upstreamThatItsOwnerCannotReachGetsNoRequests() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.applyPeerReports(
                "10.0.0.9:1",
                List.of(new PeerReport(StableHash.of(id.value()), Observation.unreachable(clock.nowNanos(), 0), 0, 0)));
        assertThat(chosen()).isEmpty();
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(id, Samples.observation(clock.nowNanos(), 100));
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
    void onlyOwnObservationsAreInLocalReports() {
        UpstreamId own = add("u-own", 100);
        Registration other = Samples.registration("u-other", Samples.LOCAL_ZONE);
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
    void requestInFlightIsReportedThoughOnlyPeersObservedItsUpstream() {
        Registration other = Samples.registration("u-other", Samples.LOCAL_ZONE);
        table.register(other);
        table.applyPeerReports(
                "peer",
                List.of(new PeerReport(StableHash.of("u-other"), Samples.observation(clock.nowNanos(), 100), 0, 0)));
        assertThat(chosen()).hasValue(other.id());
        assertThat(table.localReports(1)).extracting(PeerReport::inFlight).containsExactly(1);
    }

    @Test
    void failedAttemptsDoNotCountTowardsTheTypicalLatency() {
        add("u-1", 100);
        for (int i = 0; i < 3; i++) {
            table.finish(table.choose(Samples.criteria()).orElseThrow(), AttemptResult.SERVER_ERROR);
        }
        Placement placement = table.choose(Samples.criteria()).orElseThrow();
        clock.advance(Duration.ofMillis(100));
        table.finish(placement, AttemptResult.SUCCESS);

        assertThat(table.typicalLatencyNanos(placement.route()))
                .isEqualTo(Duration.ofMillis(100).toNanos());
    }

    @Test
    void fullUpstreamIsNoSlowOne() {
        UpstreamId id = add("u-1", 100);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(id, new Observation(clock.nowNanos(), 3, 0, 100, 0, true, true));
        SelectionCriteria urgent =
                new SelectionCriteria(new RouteId("r"), Samples.SERVICE, Set.of(), 0, Double.MAX_VALUE, 1.5);

        assertThat(table.choose(urgent)).isPresent();
    }

    @Test
    void upstreamTooSlowForTheDeadlineGetsNoRequests() {
        add("u-1", 1_200);
        SelectionCriteria criteria =
                new SelectionCriteria(new RouteId("r"), Samples.SERVICE, Set.of(), 0, Double.MAX_VALUE, 11);

        assertThat(table.choose(criteria)).isEmpty();
    }

    @Test
    void startingNodeProbesAFewUpstreamsOfEachServiceOfItsZone() {
        for (int i = 0; i < 40; i++) {
            table.register(Samples.registration("u-" + i, Samples.LOCAL_ZONE));
            table.register(Samples.registration("u-remote-" + i, Samples.REMOTE_ZONE));
        }
        List<Registration> targets = table.probeTargets(true, 0, 0);
        assertThat(targets)
                .hasSize(6)
                .allMatch(target -> target.availabilityZone().equals(Samples.LOCAL_ZONE));
        assertThat(table.hasRecentObservations()).isFalse();
        targets.subList(0, 3)
                .forEach(
                        target -> table.recordObservation(target.id(), Samples.observation(clock.nowNanos() + 1, 100)));
        assertThat(table.hasRecentObservations()).isTrue();
    }

    @Test
    void ownedUpstreamIsNotProbedSoonAfterAResponseShowedItsLoad() {
        UpstreamId id = add("u-1", 100);
        long interval = Duration.ofMillis(250).toNanos();
        clock.advance(Duration.ofMillis(200));
        assertThat(table.probeTargets(false, interval, 3 * interval)).isEmpty();
        clock.advance(Duration.ofMillis(200));
        table.recordLoad(id, new LoadReport(1, 0, 100));
        assertThat(table.probeTargets(false, interval, 3 * interval)).isEmpty();
        clock.advance(Duration.ofMillis(200));
        table.recordLoad(id, new LoadReport(1, 0, 100));
        clock.advance(Duration.ofMillis(200));
        assertThat(table.probeTargets(false, interval, 3 * interval)).hasSize(1);
    }

    @Test
    void nodeKeepsToTheSameUpstreamsAmongEqualOnes() {
        isOwner = false;
        for (int i = 0; i < 40; i++) {
            add("u-" + i, 100);
        }
        Set<UpstreamId> used = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            Placement placement = table.choose(Samples.criteria()).orElseThrow();
            used.add(placement.upstream());
            table.finish(placement, AttemptResult.SUCCESS);
        }
        assertThat(used).hasSize(1);
    }

    @Test
    void goodUpstreamsOfTheLocalZoneSufficeAndRemoteOnesServeWhenTheyAreFull() {
        UpstreamId local = add("u-local", 100);
        Registration remote = Samples.registration("u-remote", Samples.REMOTE_ZONE);
        table.register(remote);
        table.recordObservation(remote.id(), Samples.observation(clock.nowNanos(), 90));
        assertThat(chosen()).hasValue(local);
        clock.advance(Duration.ofMillis(1));
        table.recordObservation(local, new Observation(clock.nowNanos(), 3, 4, 100, 0, true, true));
        assertThat(chosen()).hasValue(remote.id());
    }
}
