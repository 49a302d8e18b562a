package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.routing.EngineDriver.grantedLease;
import static org.turmericspan.routing.EngineDriver.numberOfGrants;
import static org.turmericspan.routing.EngineDriver.ofType;

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

/**
 * Change of an upstream's owner: grace period, lease queries, handover, and process pauses. Guards against two nodes
 * granting slots of one upstream at a time, which happens when a new owner starts before the leases of the previous one
 * have ended, or when a paused process resumes on a stale view.
 */
final class OwnerChangeTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Vm SELF = Fixtures.entryVm(EngineDriver.SELF.value(), Fixtures.zone(0));
    private static final Vm SELF_IN_OTHER_ZONE = Fixtures.entryVm(EngineDriver.SELF.value(), Fixtures.zone(1));
    private static final Vm OTHER = Fixtures.entryVm(EngineDriver.OTHER.value(), Fixtures.zone(1));
    private static final Vm OTHER_IN_SAME_ZONE = Fixtures.entryVm(EngineDriver.OTHER.value(), Fixtures.zone(0));
    private static final Duration GRACE_PERIOD = EngineDriver.VIEW_LAG_BOUND.plusSeconds(5);
    private static final LeaseId LEASE_OF_OTHER = new LeaseId(new Incarnation(9), 1);

    @Test
    void newOwnerGrantsNothingUntilTheGracePeriodEnds() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));

        driver.advance(GRACE_PERIOD.minusMillis(20));
        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(driver.state().phase()).isEqualTo(Phase.RESTING);
        assertThat(numberOfGrants(driver.advance(Duration.ofMillis(20)))).isEqualTo(1);
    }

    @Test
    void newOwnerGrantsAtOnceWithoutTheGracePeriod() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = EngineDriver.withRules(new SlotRules(
                defaults.viewLagBound(),
                false,
                defaults.maxTickGap(),
                defaults.overdueRule(),
                defaults.concurrencyLimitRule(),
                defaults.restartDetector()));
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));

        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    @Test
    void gracePeriodEndsOnceNoOtherNodeHoldsALease() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        List<SlotAction> ticked = driver.advance(Duration.ofMillis(10));
        driver.request();

        assertThat(ticked).contains(new SlotAction.SendLeaseQuery(EngineDriver.OTHER, List.of(UPSTREAM.id())));
        assertThat(numberOfGrants(driver.handle(leaseReport(List.of(UPSTREAM.id())))))
                .isZero();
        assertThat(numberOfGrants(driver.handle(leaseReport(List.of())))).isEqualTo(1);
    }

    @Test
    void handoverEndsTheGracePeriodAndKeepsTheWarmUpState() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
        assertThat(driver.state().running()).isEqualTo(1);
    }

    @Test
    void handedOverLeaseCountsUntilItsReturnIsForwarded() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(false)));
        driver.request();
        driver.request();

        assertThat(numberOfGrants(driver.returnSlot(LEASE_OF_OTHER, Fixtures.answered(Duration.ofMillis(10)))))
                .isEqualTo(1);
    }

    @Test
    void handoverReceivedBeforeTheViewIsRetained() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(OTHER_IN_SAME_ZONE));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF));

        assertThat(driver.state().phase()).isEqualTo(Phase.WARM);
    }

    @Test
    void previousOwnerHandsOverAndForwardsReturns() {
        EngineDriver driver = EngineDriver.withDefaults().ownWarm(UPSTREAM);
        LeaseId lease = grantedLease(driver.request());
        List<SlotAction> actions = driver.setOwnership(List.of(UPSTREAM), List.of(OTHER));

        assertThat(ofType(SlotAction.HandOver.class, actions)).singleElement().satisfies(handOver -> {
            assertThat(handOver.to()).isEqualTo(EngineDriver.OTHER);
            assertThat(handOver.handover().warm()).isTrue();
            assertThat(handOver.handover().leases()).hasSize(1);
        });
        assertThat(driver.returnSlot(lease, SlotReturn.unused()))
                .containsExactly(new SlotAction.ForwardReturn(EngineDriver.OTHER, lease, SlotReturn.unused()));
        assertThat(numberOfGrants(driver.request())).isZero();
    }

    @Test
    void nodeReportsNoLeaseOnAnUpstreamItNeverOwned() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(OTHER_IN_SAME_ZONE));

        assertThat(queryLeases(driver, new Incarnation(1))).isEmpty();
    }

    @Test
    void restartedOwnerLearnsThatItsOldRequestsMayStillRun() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(OTHER_IN_SAME_ZONE));
        queryLeases(driver, new Incarnation(1));

        assertThat(queryLeases(driver, new Incarnation(2))).containsExactly(UPSTREAM.id());
        driver.advance(Duration.ofSeconds(5));
        assertThat(queryLeases(driver, new Incarnation(2))).isEmpty();
    }

    @Test
    void requestsOfAnUnlistedOwnerMayRunForTheGracePeriod() {
        VmId third = new VmId("entry-3");
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(
                List.of(UPSTREAM), List.of(Fixtures.entryVm(third.value(), Fixtures.zone(0)), SELF_IN_OTHER_ZONE));
        driver.setOwnership(List.of(UPSTREAM), List.of(OTHER_IN_SAME_ZONE, SELF_IN_OTHER_ZONE));

        assertThat(queryLeases(driver, new Incarnation(1))).containsExactly(UPSTREAM.id());
        driver.advance(GRACE_PERIOD);
        assertThat(queryLeases(driver, new Incarnation(1))).isEmpty();
    }

    @Test
    void processPauseInvalidatesLeasesAndStopsGrantsUntilTheViewIsConfirmed() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.advance(Duration.ofSeconds(1));
        LeaseId lease = grantedLease(driver.request());
        driver.pauseProcess(Duration.ofSeconds(2));

        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(driver.handle(new SlotEvent.Ticked(1))).contains(new SlotAction.Recall(EngineDriver.SELF, lease));
        driver.advanceUnconfirmed(Duration.ofMillis(500));
        assertThat(numberOfGrants(driver.request())).isZero();
        List<SlotAction> confirmed = driver.advance(Duration.ofMillis(400));
        assertThat(numberOfGrants(confirmed)).isEqualTo(1);
        assertThat(numberOfGrants(driver.returnSlot(grantedLease(confirmed), Fixtures.answered(Duration.ofMillis(10)))))
                .isEqualTo(1);
    }

    @Test
    void processPauseIsNotDetectedWithoutATickGapBound() {
        SlotRules defaults = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        EngineDriver driver = EngineDriver.withRules(new SlotRules(
                defaults.viewLagBound(),
                true,
                Duration.ofDays(1),
                defaults.overdueRule(),
                defaults.concurrencyLimitRule(),
                defaults.restartDetector()));
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.advance(Duration.ofSeconds(1));
        driver.pauseProcess(Duration.ofSeconds(2));

        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    @Test
    void coldUpstreamIsNotUsedOnAStaleView() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(false)));
        driver.advanceUnconfirmed(EngineDriver.VIEW_LAG_BOUND.plusMillis(100));

        assertThat(numberOfGrants(driver.request())).isZero();
        assertThat(numberOfGrants(driver.advance(Duration.ofMillis(10)))).isEqualTo(1);
    }

    @Test
    void warmUpstreamIsStillUsedOnAStaleView() {
        EngineDriver driver = EngineDriver.withDefaults();
        driver.setOwnership(List.of(UPSTREAM), List.of(SELF, OTHER));
        driver.handle(new SlotEvent.HandedOver(EngineDriver.OTHER, handover(true)));
        driver.advanceUnconfirmed(EngineDriver.VIEW_LAG_BOUND.plusMillis(100));

        assertThat(numberOfGrants(driver.request())).isEqualTo(1);
    }

    private static SlotEvent leaseReport(List<UpstreamId> held) {
        return new SlotEvent.LeaseReportReceived(EngineDriver.OTHER, List.of(UPSTREAM.id()), held);
    }

    private static List<UpstreamId> queryLeases(EngineDriver driver, Incarnation requesterIncarnation) {
        return ofType(
                        SlotAction.ReportLeases.class,
                        driver.handle(new SlotEvent.LeaseQueryReceived(
                                EngineDriver.OTHER, requesterIncarnation, List.of(UPSTREAM.id()))))
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
                List.of(new PeerMessage.RunningLease(LEASE_OF_OTHER, EngineDriver.OTHER, Duration.ofMillis(500))));
    }
}
