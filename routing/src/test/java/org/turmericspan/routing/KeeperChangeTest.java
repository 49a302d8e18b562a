package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.routing.EngineDriver.grantOf;
import static org.turmericspan.routing.EngineDriver.grants;
import static org.turmericspan.routing.EngineDriver.only;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerMessage;

/** Change of an upstream's keeper: guard, queries, handover, late wake-ups. */
final class KeeperChangeTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Vm SELF = Fixtures.entryVm(EngineDriver.SELF.value(), Fixtures.zone(0));
    private static final Vm SELF_FAR = Fixtures.entryVm(EngineDriver.SELF.value(), Fixtures.zone(1));
    private static final Vm OTHER = Fixtures.entryVm(EngineDriver.OTHER.value(), Fixtures.zone(1));
    private static final Vm OTHER_IN_ZONE = Fixtures.entryVm(EngineDriver.OTHER.value(), Fixtures.zone(0));
    private static final Duration GUARD = EngineDriver.LAG.plusSeconds(5);
    private static final LeaseId FOREIGN = new LeaseId(new Incarnation(9), 1);

    @Test
    void newKeeperRestsUntilTheGuardHasPassed() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));

        driver.pass(GUARD.minusMillis(20));
        assertThat(grants(driver.wish())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.RESTING);
        assertThat(grants(driver.pass(Duration.ofMillis(20)))).isEqualTo(1);
    }

    @Test
    void newKeeperDoesNotRestWithoutTheGuard() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = EngineDriver.with(new SlotRules(
                defaults.viewLagBound(),
                false,
                defaults.maxTickGap(),
                defaults.overdue(),
                defaults.depth(),
                defaults.restart()));
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));

        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    @Test
    void restEndsOnceEveryOtherNodeHoldsNothing() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        List<SlotAction> ticked = driver.pass(Duration.ofMillis(10));
        driver.wish();

        assertThat(ticked).contains(new SlotAction.Query(EngineDriver.OTHER, List.of(UPSTREAM.id())));
        assertThat(grants(driver.on(answer(List.of(UPSTREAM.id()))))).isZero();
        assertThat(grants(driver.on(answer(List.of())))).isEqualTo(1);
    }

    @Test
    void handoverEndsTheRestAndKeepsTheWarmth() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
        assertThat(driver.state().running()).isEqualTo(1);
    }

    @Test
    void leaseHandedOverCountsUntilItIsPassedOn() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(false)));
        driver.wish();
        driver.wish();

        assertThat(grants(driver.finish(FOREIGN, Fixtures.answered(Duration.ofMillis(10)))))
                .isEqualTo(1);
    }

    @Test
    void handoverThatComesBeforeTheViewIsKept() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(OTHER_IN_ZONE));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.map(List.of(UPSTREAM), List.of(SELF));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void oldKeeperHandsOverAndPassesReturnsOn() {
        EngineDriver driver = EngineDriver.usual().warm(UPSTREAM);
        LeaseId lease = grantOf(driver.wish());
        List<SlotAction> actions = driver.map(List.of(UPSTREAM), List.of(OTHER));

        assertThat(only(SlotAction.HandOver.class, actions)).singleElement().satisfies(handOver -> {
            assertThat(handOver.to()).isEqualTo(EngineDriver.OTHER);
            assertThat(handOver.handover().warm()).isTrue();
            assertThat(handOver.handover().leases()).hasSize(1);
        });
        assertThat(driver.finish(lease, SlotReturn.unused()))
                .containsExactly(new SlotAction.Forward(EngineDriver.OTHER, lease, SlotReturn.unused()));
        assertThat(grants(driver.wish())).isZero();
    }

    @Test
    void nodeHoldsNothingOfAnUpstreamItNeverKept() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(OTHER_IN_ZONE));

        assertThat(query(driver, new Incarnation(1))).isEmpty();
    }

    @Test
    void nodeThatRestartedIsToldThatItsOldRequestsMayRun() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(OTHER_IN_ZONE));
        query(driver, new Incarnation(1));

        assertThat(query(driver, new Incarnation(2))).containsExactly(UPSTREAM.id());
        driver.pass(Duration.ofSeconds(5));
        assertThat(query(driver, new Incarnation(2))).isEmpty();
    }

    @Test
    void keeperThatWentFromTheListMayStillRunForTheGuard() {
        VmId third = new VmId("entry-3");
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(Fixtures.entryVm(third.value(), Fixtures.zone(0)), SELF_FAR));
        driver.map(List.of(UPSTREAM), List.of(OTHER_IN_ZONE, SELF_FAR));

        assertThat(query(driver, new Incarnation(1))).containsExactly(UPSTREAM.id());
        driver.pass(GUARD);
        assertThat(query(driver, new Incarnation(1))).isEmpty();
    }

    @Test
    void lateWakeUpVoidsLeasesAndGrantsNothingUntilTheViewIsConfirmed() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.pass(Duration.ofSeconds(1));
        LeaseId lease = grantOf(driver.wish());
        driver.sleep(Duration.ofSeconds(2));

        assertThat(grants(driver.wish())).isZero();
        assertThat(driver.on(new SlotEvent.Ticked(1))).contains(new SlotAction.Recall(EngineDriver.SELF, lease));
        driver.passUnconfirmed(Duration.ofMillis(500));
        assertThat(grants(driver.wish())).isZero();
        List<SlotAction> confirmed = driver.pass(Duration.ofMillis(400));
        assertThat(grants(confirmed)).isEqualTo(1);
        assertThat(grants(driver.finish(grantOf(confirmed), Fixtures.answered(Duration.ofMillis(10)))))
                .isEqualTo(1);
    }

    @Test
    void lateWakeUpGoesUnnoticedWithoutAPauseBound() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.LAG);
        EngineDriver driver = EngineDriver.with(new SlotRules(
                defaults.viewLagBound(),
                true,
                Duration.ofDays(1),
                defaults.overdue(),
                defaults.depth(),
                defaults.restart()));
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.pass(Duration.ofSeconds(1));
        driver.sleep(Duration.ofSeconds(2));

        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    @Test
    void coldUpstreamIsNotClaimedOnAnOldView() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(false)));
        driver.passUnconfirmed(EngineDriver.LAG.plusMillis(100));

        assertThat(grants(driver.wish())).isZero();
        assertThat(grants(driver.pass(Duration.ofMillis(10)))).isEqualTo(1);
    }

    @Test
    void warmUpstreamIsStillUsedOnAnOldView() {
        EngineDriver driver = EngineDriver.usual();
        driver.map(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.on(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.passUnconfirmed(EngineDriver.LAG.plusMillis(100));

        assertThat(grants(driver.wish())).isEqualTo(1);
    }

    private static SlotEvent answer(List<UpstreamId> held) {
        return new SlotEvent.LeasesAnswered(EngineDriver.OTHER, List.of(UPSTREAM.id()), held);
    }

    private static List<UpstreamId> query(EngineDriver driver, Incarnation asker) {
        return only(
                        SlotAction.Held.class,
                        driver.on(new SlotEvent.LeasesQueried(EngineDriver.OTHER, asker, List.of(UPSTREAM.id()))))
                .findFirst()
                .orElseThrow()
                .upstreams();
    }

    private static PeerMessage.Handover handover(boolean warm) {
        return new PeerMessage.Handover(
                UPSTREAM.id(),
                warm,
                3,
                Optional.of("a"),
                List.of(new PeerMessage.RunningLease(FOREIGN, EngineDriver.OTHER, Duration.ofMillis(500))));
    }
}
