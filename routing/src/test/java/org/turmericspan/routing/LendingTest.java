package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.config.Upstream;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.testkit.ManualClock;

/** Lending of slots between two nodes, of which the first keeps the only upstream. */
final class LendingTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Vm KEEPER = Fixtures.entryVm("entry-0", Fixtures.zone(0));
    private static final Vm BORROWER = Fixtures.entryVm("entry-1", Fixtures.zone(1));
    private static final SlotReturn ANSWERED = Fixtures.answered(Duration.ofMillis(10));

    private final ManualClock clock = new ManualClock();
    private final LoopbackLinks links = new LoopbackLinks();
    private final OwnershipMap map = OwnershipMap.of(
            Fixtures.configuration(1, List.of(UPSTREAM), Fixtures.service(3, 1)),
            Fixtures.view(1, List.of(KEEPER, BORROWER, Fixtures.upstreamVm(UPSTREAM, false))));
    private final MemoryNode keeper = new MemoryNode(KEEPER.id(), 1, clock, links, map);
    private final MemoryNode borrower = new MemoryNode(BORROWER.id(), 2, clock, links, map);

    @Test
    void fleetThatStartsAsAWholeServesAtOnce() {
        start();

        assertThat(keeper.states().get(0).phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void requestThatArrivesAwayFromHomeIsServedUnderALentSlot() {
        startWarm();
        SlotLease lease = borrower.lease();

        assertThat(lease.upstream()).isEqualTo(UPSTREAM.id());
        assertThat(lease.isValid()).isTrue();
        assertThat(keeper.counts().lent()).isEqualTo(1);
        lease.release(ANSWERED);
        assertThat(keeper.counts().lent()).isZero();
    }

    @Test
    void coldSlotIsLentWhenNothingWarmIsThereSoThatNoRequestIsRefused() {
        start();

        assertThat(borrower.lease().isValid()).isTrue();
        assertThat(borrower.acquire()).isNotDone();
    }

    @Test
    void wishIsQueuedAtTheKeeperAndMetWhenASlotFrees() {
        startWarm();
        List<SlotLease> all = fill();
        CompletableFuture<SlotDecision> waiting = borrower.acquire();
        assertThat(waiting).isNotDone();

        all.get(0).release(ANSWERED);
        assertThat(MemoryNode.leaseOf(waiting).isValid()).isTrue();
        assertThat(keeper.states().get(0).running()).isEqualTo(4);
    }

    @Test
    void limitHoldsOverOwnAndLentSlotsTogether() {
        startWarm();
        for (int i = 0; i < 20; i++) {
            keeper.acquire();
            borrower.acquire();
        }

        assertThat(keeper.states().get(0).running()).isEqualTo(4);
    }

    @Test
    void borrowerReusesALeaseForAWishThatWaits() {
        startWarm();
        CompletableFuture<SlotDecision> first = borrower.acquire();
        fill();
        borrower.acquire();
        borrower.acquire();
        long returnedBefore = links.count(PeerMessage.ReturnSlot.class);
        SlotLease lease = MemoryNode.leaseOf(first);
        lease.release(ANSWERED);

        assertThat(links.count(PeerMessage.ReturnSlot.class)).isEqualTo(returnedBefore);
        assertThat(borrower.borrowed()).isEqualTo(1);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void borrowerReturnsALeaseAfterTheReuseWindow() {
        startWarm();
        SlotLease lease = borrower.lease();
        fill();
        borrower.acquire();
        clock.advance(LeaseReuse.WINDOW);
        lease.release(ANSWERED);

        assertThat(links.count(PeerMessage.ReturnSlot.class)).isEqualTo(1);
    }

    @Test
    void lostBorrowerFreesItsSlotAtTheDeadline() {
        start();
        borrower.lease();
        links.cut(BORROWER.id());
        assertThat(keeper.acquire()).isNotDone();

        passTicking(Duration.ofMillis(1_150));
        assertThat(keeper.lease().isValid()).isTrue();
    }

    @Test
    void leaseEndsForTheBorrowerAtTheDeadlineOfItsRequest() {
        startWarm();
        SlotLease lease = borrower.lease();
        passTicking(Duration.ofSeconds(1));

        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void restartOfTheUpstreamRecallsLentLeases() {
        startWarm();
        SlotLease lent = borrower.lease();
        SlotLease own = keeper.lease();
        own.release(Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(lent.isValid()).isFalse();
    }

    @Test
    void leaseIsVoidAfterALateWakeUp() {
        startWarm();
        SlotLease own = keeper.lease();
        SlotLease lent = borrower.lease();
        clock.advance(Duration.ofMillis(1_001));

        assertThat(own.isValid()).isFalse();
        assertThat(lent.isValid()).isFalse();
    }

    @Test
    void hedgeBorrowsOnlyAnIdleSlot() {
        startWarm();
        keeper.heartbeatTo(borrower);
        SlotLease lent = MemoryNode.leaseOf(borrower.acquire(true));
        assertThat(lent.isValid()).isTrue();
        fill();

        assertThat(borrower.acquire(true).getNow(null)).isInstanceOf(SlotDecision.Denied.class);
    }

    @Test
    void withdrawnWishGetsNothing() {
        startWarm();
        List<SlotLease> all = fill();
        borrower.acquire();
        assertThat(keeper.counts().waiting()).isEqualTo(1);
        passTicking(Duration.ofMillis(1_010));

        assertThat(borrower.counts().waiting()).isZero();
        assertThat(keeper.counts().waiting()).isZero();
        assertThat(all).hasSize(4);
    }

    private void start() {
        keeper.change(map);
        borrower.change(map);
        passTicking(Duration.ofMillis(20));
    }

    private void startWarm() {
        start();
        keeper.warmUp();
    }

    private List<SlotLease> fill() {
        List<SlotLease> leases = new ArrayList<>();
        for (int i = keeper.states().get(0).running(); i < 4; i++) {
            leases.add(keeper.lease());
        }
        return leases;
    }

    private void passTicking(Duration span) {
        for (long passed = 0; passed < span.toMillis(); passed += 10) {
            clock.advance(Duration.ofMillis(10));
            keeper.tick();
            borrower.tick();
        }
    }
}
