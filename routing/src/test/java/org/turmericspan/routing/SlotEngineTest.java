package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.routing.EngineDriver.grantOf;
import static org.turmericspan.routing.EngineDriver.grants;

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

/** Cold starts, limits and choice of one keeper that has no others to ask. */
final class SlotEngineTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Upstream SECOND = Fixtures.upstream("upstream-1", Fixtures.zone(0));
    private static final Duration WORK = Duration.ofMillis(10);
    private static final List<Vm> ALONE = List.of(Fixtures.entryVm("entry-0", Fixtures.zone(0)));

    @Test
    void coldUpstreamRunsOneRequestAtATime() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);

        assertThat(grants(driver.wish())).isEqualTo(1);
        assertThat(grants(driver.wish())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void coldUpstreamIsOverrunWhenTheDepthIgnoresThePhase() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = EngineDriver.with(new SlotRules(
                defaults.viewLagBound(),
                true,
                defaults.maxTickGap(),
                defaults.overdue(),
                DepthRule.ALWAYS_WARM,
                defaults.restart()));
        driver.map(List.of(UPSTREAM), ALONE);

        assertThat(grants(driver.wish()) + grants(driver.wish())).isEqualTo(2);
    }

    @Test
    void upstreamGainsSlotsBySuccessesUntilItIsWarm() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);
        List<Integer> limits = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            driver.finish(grantOf(driver.wish()), Fixtures.answered(WORK));
            limits.add(driver.state().limit());
        }

        assertThat(limits).containsExactly(1, 2, 2, 4);
        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void upstreamThatSaysItIsColdStaysColdWhateverItsSuccesses() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);
        for (int i = 0; i < 10; i++) {
            driver.finish(
                    grantOf(driver.wish()),
                    new SlotReturn(SlotReturn.Outcome.ANSWERED, WORK, Fixtures.signals(true, false, "a")));
        }

        assertThat(driver.state().limit()).isEqualTo(1);
    }

    @Test
    void newIncarnationSetsAWarmUpstreamCold() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        answerAs(driver, "a");
        answerAs(driver, "b");

        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
        assertThat(driver.state().coldReason()).contains(ColdReason.NEW_INCARNATION);
    }

    @Test
    void refusedConnectionSetsAWarmUpstreamColdAndPausesIt() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        driver.finish(grantOf(driver.wish()), Fixtures.ended(SlotReturn.Outcome.CONNECTION_REFUSED));

        assertThat(grants(driver.wish())).isZero();
        assertThat(grants(driver.pass(Duration.ofMillis(150)))).isEqualTo(1);
        assertThat(driver.state().limit()).isEqualTo(1);
    }

    @Test
    void lostConnectionIsOverlookedWithoutTheRestartRule() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = EngineDriver.with(new SlotRules(
                        defaults.viewLagBound(),
                        true,
                        defaults.maxTickGap(),
                        defaults.overdue(),
                        defaults.depth(),
                        RestartRule.NO_SIGN))
                .warm(UPSTREAM);
        driver.finish(grantOf(driver.wish()), Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void idleWarmUpstreamGetsOneRequestUntilItAnswers() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        driver.pass(Duration.ofMillis(200));
        LeaseId first = grantOf(driver.wish());

        assertThat(grants(driver.wish())).isZero();
        assertThat(grants(driver.finish(first, Fixtures.answered(WORK)))).isEqualTo(1);
        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    @Test
    void idleWarmUpstreamGetsAllItsSlotsAtOnceWithoutTheRestartRule() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = EngineDriver.with(new SlotRules(
                        defaults.viewLagBound(),
                        true,
                        defaults.maxTickGap(),
                        defaults.overdue(),
                        defaults.depth(),
                        RestartRule.NO_SIGN))
                .warm(UPSTREAM);
        driver.pass(Duration.ofMillis(200));

        assertThat(grants(driver.wish()) + grants(driver.wish())).isEqualTo(2);
    }

    @Test
    void requestsOfTheLifeBeforeDoNotWarmTheNextOne() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        LeaseId first = grantOf(driver.wish());
        LeaseId second = grantOf(driver.wish());
        driver.finish(first, Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(driver.finish(second, Fixtures.answered(WORK))).isEmpty();
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void coldTransitionRecallsRunningLeases() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        LeaseId first = grantOf(driver.wish());
        LeaseId second = grantOf(driver.wish());

        assertThat(driver.finish(first, Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST)))
                .contains(new SlotAction.Recall(EngineDriver.SELF, second));
    }

    @Test
    void idleOnlyWishGetsNoColdSlotAndDoesNotWait() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);

        assertThat(driver.wish(EngineDriver.SELF, true)).singleElement().isInstanceOf(SlotAction.Deny.class);
    }

    @Test
    void idleOnlyWishGetsNoExtraDepth() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        for (int i = 0; i < 3; i++) {
            assertThat(grants(driver.wish(EngineDriver.SELF, true))).isEqualTo(1);
        }

        assertThat(grants(driver.wish(EngineDriver.SELF, true))).isZero();
        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    @Test
    void oldestWishGetsTheFreedSlot() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);
        LeaseId lease = grantOf(driver.wish());
        driver.wish();
        driver.wish();

        assertThat(EngineDriver.only(SlotAction.Grant.class, driver.finish(lease, Fixtures.answered(WORK))))
                .extracting(grant -> grant.key().number())
                .containsExactly(2L);
    }

    @Test
    void wishIsDeniedAtItsDeadline() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(), ALONE);
        driver.wish();

        assertThat(driver.pass(Duration.ofSeconds(1))).anyMatch(SlotAction.Deny.class::isInstance);
    }

    @Test
    void upstreamWithAnOverdueRequestIsPassedOver() {
        EngineDriver driver = twoWarm(SlotRules.defaults(EngineDriver.LAG));
        LeaseId stuck = grantOf(driver.wish());
        driver.pass(Duration.ofMillis(100));

        assertThat(upstreamsOfNext(driver, 4)).doesNotContain(upstreamOf(driver, stuck));
    }

    @Test
    void upstreamWithAnOverdueRequestIsUsedWithoutTheRule() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = twoWarm(new SlotRules(
                defaults.viewLagBound(),
                true,
                defaults.maxTickGap(),
                OverdueRule.NEVER,
                defaults.depth(),
                defaults.restart()));
        grantOf(driver.wish());
        driver.pass(Duration.ofMillis(100));

        assertThat(upstreamsOfNext(driver, 4)).hasSize(2);
    }

    @Test
    void upstreamOutOfServiceGetsNothingAndReturnsCold() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        driver.map(List.of(UPSTREAM), ALONE, Set.of(UPSTREAM.vm()), Set.of());
        assertThat(grants(driver.wish())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.OUT);

        assertThat(grants(driver.map(List.of(UPSTREAM), ALONE))).isEqualTo(1);
        assertThat(driver.state().coldReason()).contains(ColdReason.RETURNED);
    }

    @Test
    void upstreamThatTheListSaysIsLeavingGetsNothing() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        driver.map(List.of(UPSTREAM), ALONE, Set.of(), Set.of(UPSTREAM.vm()));

        assertThat(grants(driver.wish())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.LEAVING);
    }

    @Test
    void upstreamThatSaysItIsLeavingStaysSoUntilANewIncarnation() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        LeaseId lease = grantOf(driver.wish());
        driver.finish(lease, new SlotReturn(SlotReturn.Outcome.ANSWERED, WORK, Fixtures.signals(false, true, "a")));
        driver.on(new SlotEvent.Observed(UPSTREAM.id(), Fixtures.signals(false, false, "a")));
        assertThat(driver.state().phase()).isEqualTo(Phase.LEAVING);

        driver.on(new SlotEvent.Observed(UPSTREAM.id(), Fixtures.signals(false, false, "b")));
        assertThat(driver.state().phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void leaseEndsAtItsDeadlineWhenItIsNotReturned() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), ALONE);
        grantOf(driver.wish());
        driver.pass(Duration.ofMillis(1_150));

        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    @Test
    void idleUpstreamThatReportsOthersWorkComesLast() {
        EngineDriver driver = twoWarm(SlotRules.defaults(EngineDriver.LAG));
        LeaseId lease = grantOf(driver.wish());
        var busy = upstreamOf(driver, lease);
        driver.finish(
                lease,
                new SlotReturn(
                        SlotReturn.Outcome.ANSWERED,
                        WORK,
                        new UpstreamSignals(OptionalInt.of(9), false, false, Optional.empty())));

        assertThat(upstreamsOfNext(driver, 2)).doesNotContain(busy);
    }

    private static EngineDriver twoWarm(SlotRules rules) {
        EngineDriver driver = EngineDriver.with(rules);
        driver.map(List.of(UPSTREAM, SECOND), ALONE);
        for (int i = 0; i < 100 && !allWarm(driver); i++) {
            LeaseId first = grantOf(driver.wish());
            LeaseId second = grantOf(driver.wish());
            driver.finish(first, Fixtures.answered(WORK));
            driver.finish(second, Fixtures.answered(WORK));
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
            EngineDriver.only(SlotAction.Grant.class, driver.wish())
                    .forEach(grant -> upstreams.add(grant.slot().upstream()));
        }
        return Set.copyOf(upstreams);
    }

    private static void answerAs(EngineDriver driver, String incarnation) {
        driver.finish(
                grantOf(driver.wish()),
                new SlotReturn(SlotReturn.Outcome.ANSWERED, WORK, Fixtures.signals(false, false, incarnation)));
    }
}
