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

/**
 * Lending of slots between two nodes, of which the first owns the only upstream. Guards against overload of an upstream
 * by requests of several nodes, and against leases that outlive a lost borrower, a restart or a process pause.
 */
final class LendingTest {
    private static final Upstream UPSTREAM = Fixtures.upstream("upstream-0", Fixtures.zone(0));
    private static final Vm OWNER = Fixtures.entryVm("entry-0", Fixtures.zone(0));
    private static final Vm BORROWER = Fixtures.entryVm("entry-1", Fixtures.zone(1));
    private static final SlotReturn ANSWERED = Fixtures.answered(Duration.ofMillis(10));

    private final ManualClock clock = new ManualClock();
    private final LoopbackLinks links = new LoopbackLinks();
    private final OwnershipMap ownershipMap = OwnershipMap.of(
            Fixtures.configuration(1, List.of(UPSTREAM), Fixtures.service(3, 1)),
            Fixtures.view(1, List.of(OWNER, BORROWER, Fixtures.upstreamVm(UPSTREAM, false))));
    private final InMemoryNode owner = new InMemoryNode(OWNER.id(), 1, clock, links, ownershipMap);
    private final InMemoryNode borrower = new InMemoryNode(BORROWER.id(), 2, clock, links, ownershipMap);

    @Test
    void fleetThatStartsTogetherGrantsAtOnce() {
        start();

        assertThat(owner.states().get(0).phase()).isEqualTo(Phase.COLD);
    }

    @Test
    void requestOnANodeThatDoesNotOwnTheUpstreamUsesALentSlot() {
        startWarm();
        SlotLease lease = borrower.lease();

        assertThat(lease.upstream()).isEqualTo(UPSTREAM.id());
        assertThat(lease.isValid()).isTrue();
        assertThat(owner.counts().lent()).isEqualTo(1);
        lease.release(ANSWERED);
        assertThat(owner.counts().lent()).isZero();
    }

    @Test
    void coldSlotIsLentWhenNoUpstreamIsWarmSoThatNoRequestIsRefused() {
        start();

        assertThat(borrower.lease().isValid()).isTrue();
        assertThat(borrower.acquire()).isNotDone();
    }

    @Test
    void requestIsQueuedAtTheOwnerAndGrantedWhenASlotFrees() {
        startWarm();
        List<SlotLease> leases = takeAllSlots();
        CompletableFuture<SlotDecision> waiting = borrower.acquire();
        assertThat(waiting).isNotDone();

        leases.get(0).release(ANSWERED);
        assertThat(InMemoryNode.leaseOf(waiting).isValid()).isTrue();
        assertThat(owner.states().get(0).running()).isEqualTo(4);
    }

    @Test
    void limitCoversOwnAndLentSlotsTogether() {
        startWarm();
        for (int i = 0; i < 20; i++) {
            owner.acquire();
            borrower.acquire();
        }

        assertThat(owner.states().get(0).running()).isEqualTo(4);
    }

    @Test
    void borrowerReusesALeaseForAQueuedRequest() {
        startWarm();
        CompletableFuture<SlotDecision> first = borrower.acquire();
        takeAllSlots();
        borrower.acquire();
        borrower.acquire();
        long returnedBefore = links.countSent(PeerMessage.ReturnSlot.class);
        SlotLease lease = InMemoryNode.leaseOf(first);
        lease.release(ANSWERED);

        assertThat(links.countSent(PeerMessage.ReturnSlot.class)).isEqualTo(returnedBefore);
        assertThat(borrower.borrowedCount()).isEqualTo(1);
        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void borrowerReturnsALeaseAfterTheReuseWindow() {
        startWarm();
        SlotLease lease = borrower.lease();
        takeAllSlots();
        borrower.acquire();
        clock.advance(LeaseReuse.WINDOW);
        lease.release(ANSWERED);

        assertThat(links.countSent(PeerMessage.ReturnSlot.class)).isEqualTo(1);
    }

    @Test
    void slotOfADisconnectedBorrowerIsFreedAtTheDeadline() {
        start();
        borrower.lease();
        links.disconnect(BORROWER.id());
        assertThat(owner.acquire()).isNotDone();

        advanceTicking(Duration.ofMillis(1_150));
        assertThat(owner.lease().isValid()).isTrue();
    }

    @Test
    void leaseEndsForTheBorrowerAtTheDeadlineOfItsRequest() {
        startWarm();
        SlotLease lease = borrower.lease();
        advanceTicking(Duration.ofSeconds(1));

        assertThat(lease.isValid()).isFalse();
    }

    @Test
    void restartOfTheUpstreamRecallsLentLeases() {
        startWarm();
        SlotLease lent = borrower.lease();
        SlotLease own = owner.lease();
        own.release(Fixtures.ended(SlotReturn.Outcome.CONNECTION_LOST));

        assertThat(lent.isValid()).isFalse();
    }

    @Test
    void leasesAreInvalidAfterAProcessPause() {
        startWarm();
        SlotLease own = owner.lease();
        SlotLease lent = borrower.lease();
        clock.advance(Duration.ofMillis(1_001));

        assertThat(own.isValid()).isFalse();
        assertThat(lent.isValid()).isFalse();
    }

    @Test
    void hedgeBorrowsOnlyAnIdleSlot() {
        startWarm();
        owner.heartbeatTo(borrower);
        SlotLease lent = InMemoryNode.leaseOf(borrower.acquire(true));
        assertThat(lent.isValid()).isTrue();
        takeAllSlots();

        assertThat(borrower.acquire(true).getNow(null)).isInstanceOf(SlotDecision.Denied.class);
    }

    @Test
    void cancelledRequestLeavesTheOwnersQueue() {
        startWarm();
        List<SlotLease> leases = takeAllSlots();
        borrower.acquire();
        assertThat(owner.counts().waiting()).isEqualTo(1);
        advanceTicking(Duration.ofMillis(1_010));

        assertThat(borrower.counts().waiting()).isZero();
        assertThat(owner.counts().waiting()).isZero();
        assertThat(leases).hasSize(4);
    }

    private void start() {
        owner.setOwnership(ownershipMap);
        borrower.setOwnership(ownershipMap);
        advanceTicking(Duration.ofMillis(20));
    }

    private void startWarm() {
        start();
        owner.warmUp();
    }

    private List<SlotLease> takeAllSlots() {
        List<SlotLease> leases = new ArrayList<>();
        for (int i = owner.states().get(0).running(); i < 4; i++) {
            leases.add(owner.lease());
        }
        return leases;
    }

    private void advanceTicking(Duration span) {
        for (long elapsedMillis = 0; elapsedMillis < span.toMillis(); elapsedMillis += 10) {
            clock.advance(Duration.ofMillis(10));
            owner.tick();
            borrower.tick();
        }
    }
}
