package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Kept upstreams of one service and the wishes that wait for them, oldest first. */
final class ServiceSlots {
    private static final Duration OVERDUE_PATIENCE = Duration.ofMillis(20);

    private final Map<WishKey, Waiter> waiters = new LinkedHashMap<>();
    private List<UpstreamSlots> upstreams = new ArrayList<>();

    Map<WishKey, Waiter> waiters() {
        return waiters;
    }

    List<UpstreamSlots> upstreams() {
        return upstreams;
    }

    void replace(List<UpstreamSlots> kept) {
        upstreams = kept;
    }

    /**
     * Chooses the upstream with the least cost for a wish, or null. One whose oldest request is overdue is passed over
     * until the wish has waited for a while.
     */
    UpstreamSlots best(Waiter waiter, boolean mayUseCold, long nowNanos) {
        boolean isPatient = nowNanos - waiter.sinceNanos() >= OVERDUE_PATIENCE.toNanos();
        boolean mayTakeCold = mayUseCold && !waiter.slotRequest().idleOnly() && (waiter.isOwn() || !hasPlain());
        UpstreamSlots best = null;
        long bestCost = Long.MAX_VALUE;
        for (UpstreamSlots slots : upstreams) {
            if (!isEligible(slots, waiter, mayTakeCold, mayUseCold, nowNanos)
                    || (!isPatient && slots.isOverdue(nowNanos))) {
                continue;
            }
            long cost = slots.cost();
            if (cost < bestCost) {
                best = slots;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Removes and returns the wish that an offered slot serves: the preferred one, else this node's oldest. */
    Optional<WishKey> takeWaiterFor(SlotEvent.Offered offered) {
        if (waiters.remove(offered.preferred()) != null) {
            return Optional.of(offered.preferred());
        }
        for (Waiter waiter : waiters.values()) {
            boolean endsInTime = waiter.slotRequest().deadlineNanos() <= offered.deadlineNanos();
            if (waiter.isOwn() && waiter.takesAnyUpstream() && endsInTime) {
                waiters.remove(waiter.key());
                return Optional.of(waiter.key());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the wishes whose deadline has passed. */
    List<WishKey> takeLateWaiters(long nowNanos) {
        List<WishKey> late = new ArrayList<>();
        waiters.values().removeIf(waiter -> {
            boolean isLate = nowNanos >= waiter.slotRequest().deadlineNanos();
            if (isLate) {
                late.add(waiter.key());
            }
            return isLate;
        });
        return late;
    }

    int idle(long nowNanos) {
        int idle = 0;
        for (UpstreamSlots slots : upstreams) {
            if (slots.hasIdleSlot() && slots.hasRoom(nowNanos) && !slots.isOverdue(nowNanos)) {
                idle += slots.service().slotsPerUpstream() - slots.running().size();
            }
        }
        return idle;
    }

    private static boolean isEligible(
            UpstreamSlots slots, Waiter waiter, boolean mayTakeCold, boolean mayUseCold, long nowNanos) {
        if (!slots.hasRoom(nowNanos)
                || waiter.slotRequest()
                        .excludedUpstreams()
                        .contains(slots.upstream().id())) {
            return false;
        }
        if (waiter.slotRequest().idleOnly() && !slots.hasIdleSlot()) {
            return false;
        }
        return switch (slots.phase()) {
            case COLD -> mayTakeCold;
            case RAMPING -> mayUseCold;
            default -> true;
        };
    }

    private boolean hasPlain() {
        for (UpstreamSlots slots : upstreams) {
            if (slots.isPlain()) {
                return true;
            }
        }
        return false;
    }
}
