package org.turmericspan.routing;

import java.util.Comparator;
import java.util.List;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Slots of the upstreams that this node owns, with all leases on them and the queued requests; thread-safe. It is the
 * only place that knows what is running on these upstreams now.
 */
public final class SlotTable {
    private final RankedLock lock = new RankedLock(LockRank.SLOTS);
    private final SlotEngine engine;
    private final MonotonicClock clock;

    /**
     * Creates a table.
     *
     * @param engine decision logic, used by this table alone
     * @param clock provides the time of each event
     */
    public SlotTable(SlotEngine engine, MonotonicClock clock) {
        this.engine = engine;
        this.clock = clock;
    }

    /**
     * Decides on one event.
     *
     * @param event what happened
     * @return what to do, in this order, outside the lock
     */
    public List<SlotAction> apply(SlotEvent event) {
        return lock.compute(() -> engine.handle(event, clock.nowNanos()));
    }

    /**
     * Describes the idle slots for the other nodes.
     *
     * @return one entry for each service of which this node owns upstreams
     */
    public List<PeerMessage.IdleSlots> idleSlots() {
        return lock.compute(() -> engine.idleSlots(clock.nowNanos()));
    }

    /**
     * Describes the owned upstreams.
     *
     * @return their states in the order of their names
     */
    public List<UpstreamState> upstreamStates() {
        return lock.compute(() -> engine.describe(clock.nowNanos())).stream()
                .sorted(Comparator.comparing(UpstreamState::upstream))
                .toList();
    }

    /**
     * Counts leases, queued requests and cold transitions.
     *
     * @return the counts
     */
    public SlotCounts counts() {
        return lock.compute(engine::counts);
    }
}
