package org.turmericspan.routing;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * A lease that this node holds, on an upstream of its own or a borrowed one. It is invalid once it was recalled or
 * released or has expired, and while this node's ticks are overdue.
 */
final class HeldLease implements SlotLease {
    private final GrantedSlot slot;
    private final MonotonicClock clock;
    private final BooleanSupplier tickingOnTime;
    private final Consumer<SlotReturn> onRelease;
    private final AtomicBoolean released = new AtomicBoolean();
    private volatile boolean recalled;

    HeldLease(GrantedSlot slot, MonotonicClock clock, BooleanSupplier tickingOnTime, Consumer<SlotReturn> onRelease) {
        this.slot = slot;
        this.clock = clock;
        this.tickingOnTime = tickingOnTime;
        this.onRelease = onRelease;
    }

    void recall() {
        recalled = true;
    }

    boolean isRecalled() {
        return recalled;
    }

    @Override
    public LeaseId id() {
        return slot.lease();
    }

    @Override
    public UpstreamId upstream() {
        return slot.upstream();
    }

    @Override
    public SocketAddress address() {
        return slot.address();
    }

    @Override
    public boolean isValid() {
        return !recalled && !released.get() && clock.nowNanos() < slot.deadlineNanos() && tickingOnTime.getAsBoolean();
    }

    @Override
    public void release(SlotReturn slotReturn) {
        if (released.compareAndSet(false, true)) {
            onRelease.accept(slotReturn);
        }
    }
}
