package org.turmericspan.routing;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;

/** Leases that this node holds. They are invalid while ticks are overdue, since the process may have been paused. */
final class HeldLeases {
    private final Map<LeaseId, HeldLease> leasesById = new ConcurrentHashMap<>();
    private final MonotonicClock clock;
    private final long maxTickGapNanos;
    private volatile long lastTickNanos;

    HeldLeases(MonotonicClock clock, long maxTickGapNanos) {
        this.clock = clock;
        this.maxTickGapNanos = maxTickGapNanos;
        this.lastTickNanos = clock.nowNanos();
    }

    HeldLease hold(GrantedSlot slot, Consumer<SlotReturn> onRelease) {
        HeldLease lease = new HeldLease(slot, clock, this::isTickingOnTime, slotReturn -> {
            leasesById.remove(slot.lease());
            onRelease.accept(slotReturn);
        });
        leasesById.put(slot.lease(), lease);
        return lease;
    }

    void recall(LeaseId id) {
        HeldLease lease = leasesById.get(id);
        if (lease != null) {
            lease.recall();
        }
    }

    /** Records that a tick came in time, or that all leases held before a late tick have been recalled. */
    void recordTick() {
        lastTickNanos = clock.nowNanos();
    }

    /**
     * Recalls every lease if the process was paused for too long. Leases granted after the next recorded tick are valid
     * again.
     */
    void recallAfterPause() {
        if (!isTickingOnTime()) {
            leasesById.values().forEach(HeldLease::recall);
        }
    }

    Collection<HeldLease> all() {
        return leasesById.values();
    }

    private boolean isTickingOnTime() {
        return clock.nowNanos() - lastTickNanos <= maxTickGapNanos;
    }
}
