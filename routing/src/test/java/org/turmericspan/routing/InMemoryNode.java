package org.turmericspan.routing;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.PeerTable;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.testkit.ManualClock;

/** The slot components of one node, linked to other nodes by {@link LoopbackLinks}. */
final class InMemoryNode {
    private final VmId vm;
    private final Incarnation incarnation;
    private final ManualClock clock;
    private final PeerTable peers;
    private final SlotTable table;
    private final SlotCoordinator coordinator;
    private OwnershipMap ownershipMap;

    InMemoryNode(VmId vm, long incarnation, ManualClock clock, LoopbackLinks links, OwnershipMap ownershipMap) {
        this.vm = vm;
        this.incarnation = new Incarnation(incarnation);
        this.clock = clock;
        this.ownershipMap = ownershipMap;
        this.peers = new PeerTable(clock);
        SlotRules rules = SlotRules.defaults(EngineDriver.VIEW_LAG_BOUND);
        this.table = new SlotTable(new SlotEngine(vm, this.incarnation, rules), clock);
        LenderSelector lenderSelector = new LenderSelector(vm, () -> this.ownershipMap, peers, clock, new Random(1));
        this.coordinator = new SlotCoordinator(
                table,
                new SlotNetwork(vm, this.incarnation, links.of(vm), (delay, task) -> {}),
                () -> this.ownershipMap,
                lenderSelector,
                clock,
                rules.maxTickGap(),
                clock::nowNanos,
                new MetricRegistry());
        links.join(vm, new SlotPeerHandler(coordinator, clock));
    }

    void setOwnership(OwnershipMap newMap) {
        ownershipMap = newMap;
        coordinator.onOwnershipChanged();
    }

    void tick() {
        coordinator.tick();
    }

    CompletableFuture<SlotDecision> acquire() {
        return acquire(false);
    }

    CompletableFuture<SlotDecision> acquire(boolean idleOnly) {
        return coordinator
                .acquire(Fixtures.slotRequest(
                        clock.nowNanos() + Duration.ofSeconds(1).toNanos(), idleOnly))
                .toCompletableFuture();
    }

    /** Acquires a slot that must be granted at once. */
    SlotLease lease() {
        return leaseOf(acquire());
    }

    static SlotLease leaseOf(CompletableFuture<SlotDecision> decision) {
        return ((SlotDecision.Granted) decision.getNow(null)).lease();
    }

    void heartbeatTo(InMemoryNode other) {
        other.peers.recordHeartbeat(
                vm, new PeerMessage.Heartbeat(incarnation, 1, "", 1, Duration.ZERO, false, table.idleSlots()));
    }

    /** Uses and returns slots one after the other until every owned upstream is warm. */
    void warmUp() {
        while (table.upstreamStates().stream().anyMatch(state -> state.phase() != Phase.WARM)) {
            lease().release(new SlotReturn(SlotReturn.Outcome.ANSWERED, Duration.ofMillis(10), UpstreamSignals.NONE));
        }
    }

    List<UpstreamState> states() {
        return table.upstreamStates();
    }

    SlotCounts counts() {
        return table.counts();
    }

    int borrowedCount() {
        return coordinator.borrowedCount();
    }
}
