package org.turmericspan.routing;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;

/** The leases that this node holds now, and whether the process was awake enough to use them. */
final class HeldLeases {
    private final Map<LeaseId, HeldLease> held = new ConcurrentHashMap<>();
    private final MonotonicClock clock;
    private final long pauseBoundNanos;
    private volatile long lastTickNanos;

    HeldLeases(MonotonicClock clock, long pauseBoundNanos) {
        this.clock = clock;
        this.pauseBoundNanos = pauseBoundNanos;
        this.lastTickNanos = clock.nowNanos();
    }

    HeldLease hold(GrantedSlot slot, Consumer<SlotReturn> onRelease) {
        HeldLease lease = new HeldLease(slot, clock, this::isAwake, slotReturn -> {
            held.remove(slot.lease());
            onRelease.accept(slotReturn);
        });
        held.put(slot.lease(), lease);
        return lease;
    }

    void recall(LeaseId id) {
        HeldLease lease = held.get(id);
        if (lease != null) {
            lease.recall();
        }
    }

    /** Notes that a tick has come in time, or that all leases held before a late one have been recalled. */
    void ticked() {
        lastTickNanos = clock.nowNanos();
    }

    /** Recalls every lease when the process has slept too long; the next tick then counts again. */
    void recallAfterPause() {
        if (!isAwake()) {
            held.values().forEach(HeldLease::recall);
        }
    }

    Collection<HeldLease> all() {
        return held.values();
    }

    private boolean isAwake() {
        return clock.nowNanos() - lastTickNanos <= pauseBoundNanos;
    }
}
