package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.routing.EngineDriver.grantedLease;
import static org.turmericspan.routing.EngineDriver.numberOfGrants;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.membership.Vm;

/** Tests cold starts, limits and the choice of upstreams on a node that is the only owner. */
final class SlotEngineTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Upstream SECOND_UPSTREAM = Fixtures.upstream("upstream-1", Fixtures.zone(0));
    private static final Duration SERVICE_TIME = Duration.ofMillis(10);
    private static final List<Vm> ONLY_SELF = List.of(Fixtures.entryVm("entry-0", Fixtures.zone(0)));

    @Test
    void coldUpstreamRunsOneRequestAtATime() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);

        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void coldUpstreamIsOverloadedWhenTheConcurrencyLimitIgnoresThePhase() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = EngineDriver.withRules(new SlotRules(
                defaults.viewLagBound(),
                true,
                defaults.maxTickGap(),
                defaults.overdueRule(),
                ConcurrencyLimitRule.ALWAYS_WARM,
                defaults.restartDetector()));
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);

        assertThat(numberOfGrants(driver.request()) + numberOfGrants(driver.request()))
                .isEqualTo(2);
    }

    @Test
    void upstreamGainsSlotsBySuccessesUntilItIsWarm() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);
        List<Integer> limits = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            driver.returnSlot(grantedLease(driver.request()), Fixtures.answered(SERVICE_TIME));
            limits.add(driver.state().limit());
        }

        assertThat(limits).containsExactly(1, 2, 2, 4);
        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void upstreamThatReportsColdStaysColdDespiteSuccesses() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);
        for (int i = 0; i < 10; i++) {
            driver.returnSlot(
                    grantedLease(driver.request()),
                    new SlotReturn(SlotReturn.Outcome.ANSWERED, SERVICE_TIME, Fixtures.signals(true, false, "a")));
        }

        assertThat(driver.state().limit()).isEqualTo(1);
    }

    @Test
    void newIncarnationMarksAWarmUpstreamCold() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        respondAs(driver, "a");
        respondAs(driver, "b");

        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
        assertThat(driver.state().coldReason()).contains(ColdReason.NEW_INCARNATION);
    }

    @Test
    void refusedConnectionMarksAWarmUpstreamColdAndBacksOff() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        driver.returnSlot(grantedLease(driver.request()), Fixtures.ended(SlotReturn.Outcome.CONNECTION_REFUSED));

        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(numberOfGrants(driver.advance(Duration.ofMillis(150)))).isEqualTo(1);
        assertThat(driver.state().limit()).isEqualTo(1);
    }

    @Test
    void lostConnectionIsIgnoredWithoutRestartDetection() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = EngineDriver.withRules(new SlotRules(
                        defaults.viewLagBound(),
                        true,
                        defaults.maxTickGap(),
                        defaults.overdueRule(),
                        defaults.concurrencyLimitRule(),
                        RestartDetector.DISABLED))
                .ownWarm(UPSTREAM);
        driver.returnSlot(grantedLease(driver.request()), Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void idleWarmUpstreamGetsOneRequestUntilItResponds() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        driver.advance(Duration.ofMillis(200));
        LeaseId first = grantedLease(driver.request());

        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(numberOfGrants(driver.returnSlot(first, Fixtures.answered(SERVICE_TIME))))
                .isEqualTo(1);
        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    @Test
    void idleWarmUpstreamGetsAllItsSlotsAtOnceWithoutRestartDetection() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = EngineDriver.withRules(new SlotRules(
                        defaults.viewLagBound(),
                        true,
                        defaults.maxTickGap(),
                        defaults.overdueRule(),
                        defaults.concurrencyLimitRule(),
                        RestartDetector.DISABLED))
                .ownWarm(UPSTREAM);
        driver.advance(Duration.ofMillis(200));

        assertThat(numberOfGrants(driver.request()) + numberOfGrants(driver.request()))
                .isEqualTo(2);
    }

    @Test
    void requestsOfThePreviousIncarnationDoNotWarmUpTheNextOne() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        LeaseId first = grantedLease(driver.request());
        LeaseId second = grantedLease(driver.request());
        driver.returnSlot(first, Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(driver.returnSlot(second, Fixtures.answered(SERVICE_TIME))).isEmpty();
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void coldTransitionRecallsRunningLeases() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        LeaseId first = grantedLease(driver.request());
        LeaseId second = grantedLease(driver.request());

        assertThat(driver.returnSlot(first, Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST)))
                .contains(new SlotAction.Recall(EngineDriver.SELF, second));
    }

    @Test
    void idleOnlyRequestGetsNoColdSlotAndIsNotQueued() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);

        assertThat(driver.request(EngineDriver.SELF, true)).singleElement().isInstanceOf(SlotAction.Deny.class);
    }

    @Test
    void idleOnlyRequestGetsNoExtraDepth() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        for (int i = 0; i < 3; i++) {
            assertThat(numberOfGrants(driver.request(EngineDriver.SELF, true))).isEqualTo(1);
        }

        assertThat(numberOfGrants(driver.request(EngineDriver.SELF, true))).isZero();
        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    @Test
    void oldestRequestGetsTheFreedSlot() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);
        LeaseId lease = grantedLease(driver.request());
        driver.request();
        driver.request();

        assertThat(EngineDriver.ofType(
                        SlotAction.Grant.class, driver.returnSlot(lease, Fixtures.answered(SERVICE_TIME))))
                .extracting(grant -> grant.requestId().number())
                .containsExactly(2L);
    }

    @Test
    void queuedRequestIsDeniedAtItsDeadline() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(), ONLY_SELF);
        driver.request();

        assertThat(driver.advance(Duration.ofSeconds(1))).anyMatch(SlotAction.Deny.class::isInstance);
    }

    @Test
    void upstreamWithAnOverdueRequestIsSkipped() {
        EngineDriver driver = ownTwoWarm(SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND));
        LeaseId stuck = grantedLease(driver.request());
        driver.advance(Duration.ofMillis(100));

        assertThat(upstreamsOfNext(driver, 4)).doesNotContain(upstreamOf(driver, stuck));
    }

    @Test
    void upstreamWithAnOverdueRequestIsUsedWithoutTheOverdueRule() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = ownTwoWarm(new SlotRules(
                defaults.viewLagBound(),
                true,
                defaults.maxTickGap(),
                OverdueRule.NEVER,
                defaults.concurrencyLimitRule(),
                defaults.restartDetector()));
        grantedLease(driver.request());
        driver.advance(Duration.ofMillis(100));

        assertThat(upstreamsOfNext(driver, 4)).hasSize(2);
    }

    @Test
    void upstreamOutOfServiceGetsNoRequestsAndReturnsCold() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF, Set.of(UPSTREAM.vm()), Set.of());
        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.OUT);

        assertThat(numberOfGrants(driver.setOwnership(List.of(UPSTREAM), ONLY_SELF)))
                .isEqualTo(1);
        assertThat(driver.state().coldReason()).contains(ColdReason.RETURNED);
    }

    @Test
    void upstreamListedAsLeavingGetsNoRequests() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF, Set.of(), Set.of(UPSTREAM.vm()));

        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.LEAVING);
    }

    @Test
    void upstreamThatReportsLeavingStaysLeavingUntilANewIncarnation() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        LeaseId lease = grantedLease(driver.request());
        driver.returnSlot(
                lease, new SlotReturn(SlotReturn.Outcome.ANSWERED, SERVICE_TIME, Fixtures.signals(false, true, "a")));
        driver.handle(new SlotEvent.ProbeResultReceived(UPSTREAM.id(), Fixtures.signals(false, false, "a")));
        assertThat(driver.state().phase()).isEqualTo(Phase.LEAVING);

        driver.handle(new SlotEvent.ProbeResultReceived(UPSTREAM.id(), Fixtures.signals(false, false, "b")));
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void leaseEndsAtItsDeadlineWhenItIsNotReturned() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), ONLY_SELF);
        grantedLease(driver.request());
        driver.advance(Duration.ofMillis(1_150));

        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    @Test
    void idleUpstreamThatReportsRequestsWithoutLeaseIsChosenLast() {
        EngineDriver driver = ownTwoWarm(SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND));
        LeaseId lease = grantedLease(driver.request());
        var busy = upstreamOf(driver, lease);
        driver.returnSlot(
                lease,
                new SlotReturn(
                        SlotReturn.Outcome.ANSWERED,
                        SERVICE_TIME,
                        new UpstreamSignals(OptionalInt.of(9), false, false, Optional.empty())));

        assertThat(upstreamsOfNext(driver, 2)).doesNotContain(busy);
    }

    private static EngineDriver ownTwoWarm(SlotRules rules) {
        EngineDriver driver = EngineDriver.withRules(rules);
        driver.setOwnership(List.of(UPSTREAM, SECOND_UPSTREAM), ONLY_SELF);
        for (int i = 0; i < 100 && !allWarm(driver); i++) {
            LeaseId first = grantedLease(driver.request());
            LeaseId second = grantedLease(driver.request());
            driver.returnSlot(first, Fixtures.answered(SERVICE_TIME));
            driver.returnSlot(second, Fixtures.answered(SERVICE_TIME));
        }
        assertThat(allWarm(driver)).isTrue();
        return driver;
    }

    private static boolean allWarm(EngineDriver driver) {
        return driver.states().stream().allMatch(state -> state.phase() == Phase.WARM);
    }

    private static Object upstreamOf(EngineDriver driver, LeaseId lease) {
        return driver.states().stream()
                .filter(state -> state.running() > 0)
                .findFirst()
                .map(UpstreamState::upstream)
                .orElseThrow(() -> new AssertionError("Nothing runs under " + lease));
    }

    private static Set<Object> upstreamsOfNext(EngineDriver driver, int count) {
        List<Object> upstreams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EngineDriver.ofType(SlotAction.Grant.class, driver.request())
                    .forEach(grant -> upstreams.add(grant.slot().upstream()));
        }
        return Set.copyOf(upstreams);
    }

    private static void respondAs(EngineDriver driver, String incarnation) {
        driver.returnSlot(
                grantedLease(driver.request()),
                new SlotReturn(SlotReturn.Outcome.ANSWERED, SERVICE_TIME, Fixtures.signals(false, false, incarnation)));
    }
}
