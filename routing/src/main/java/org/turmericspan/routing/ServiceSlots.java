package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Owned upstreams of one service and the queue of requests for their slots, oldest first. */
final class ServiceSlots {
    /** Time in the queue after which a request may be sent to an upstream with an overdue request. */
    private static final Duration OVERDUE_SKIP_LIMIT = Duration.ofMillis(20);

    private final Map<SlotRequestId, QueuedRequest> queue = new LinkedHashMap<>();
    private List<UpstreamSlots> upstreams = new ArrayList<>();

    Map<SlotRequestId, QueuedRequest> queue() {
        return queue;
    }

    List<UpstreamSlots> upstreams() {
        return upstreams;
    }

    void setUpstreams(List<UpstreamSlots> owned) {
        upstreams = owned;
    }

    /**
     * Returns the upstream with the least cost for a request, or null. An upstream whose oldest request is overdue is
     * skipped until the request has been queued for {@link #OVERDUE_SKIP_LIMIT}. A cold upstream is not used for
     * idle-only requests (hedges), and for requests of other nodes only when no upstream is warm or ramping.
     *
     * @param mayUseWarmingUp whether cold and ramping upstreams may be used
     */
    UpstreamSlots selectUpstream(QueuedRequest queued, boolean mayUseWarmingUp, long nowNanos) {
        boolean mayUseOverdue = nowNanos - queued.enqueuedNanos() >= OVERDUE_SKIP_LIMIT.toNanos();
        boolean mayUseCold =
                mayUseWarmingUp && !queued.slotRequest().idleOnly() && (queued.isLocal() || !hasWarmOrRamping());
        UpstreamSlots best = null;
        long bestCost = Long.MAX_VALUE;
        for (UpstreamSlots slots : upstreams) {
            if (!isEligible(slots, queued, mayUseCold, mayUseWarmingUp, nowNanos)
                    || (!mayUseOverdue && slots.isOverdue(nowNanos))) {
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

    /**
     * Removes and returns the request that an available borrowed slot serves: the preferred one, else the oldest of
     * this node.
     */
    Optional<SlotRequestId> dequeueFor(SlotEvent.BorrowedSlotAvailable available) {
        if (queue.remove(available.preferredId()) != null) {
            return Optional.of(available.preferredId());
        }
        for (QueuedRequest queued : queue.values()) {
            boolean endsInTime = queued.slotRequest().deadlineNanos() <= available.deadlineNanos();
            if (queued.isLocal() && queued.acceptsAnyUpstream() && endsInTime) {
                queue.remove(queued.requestId());
                return Optional.of(queued.requestId());
            }
        }
        return Optional.empty();
    }

    /** Removes and returns the requests whose deadline has passed. */
    List<SlotRequestId> removeExpired(long nowNanos) {
        List<SlotRequestId> expired = new ArrayList<>();
        queue.values().removeIf(queued -> {
            boolean isExpired = nowNanos >= queued.slotRequest().deadlineNanos();
            if (isExpired) {
                expired.add(queued.requestId());
            }
            return isExpired;
        });
        return expired;
    }

    /** Counts the idle slots that could be granted now. */
    int countIdle(long nowNanos) {
        int idle = 0;
        for (UpstreamSlots slots : upstreams) {
            if (slots.hasIdleSlot() && slots.hasCapacity(nowNanos) && !slots.isOverdue(nowNanos)) {
                idle += slots.service().slotsPerUpstream()
                        - slots.runningLeases().size();
            }
        }
        return idle;
    }

    private static boolean isEligible(
            UpstreamSlots slots, QueuedRequest queued, boolean mayUseCold, boolean mayUseWarmingUp, long nowNanos) {
        if (!slots.hasCapacity(nowNanos)
                || queued.slotRequest()
                        .excludedUpstreams()
                        .contains(slots.upstream().id())) {
            return false;
        }
        if (queued.slotRequest().idleOnly() && !slots.hasIdleSlot()) {
            return false;
        }
        return switch (slots.phase()) {
            case COLD -> mayUseCold;
            case RAMPING -> mayUseWarmingUp;
            default -> true;
        };
    }

    private boolean hasWarmOrRamping() {
        for (UpstreamSlots slots : upstreams) {
            if (slots.isWarmOrRamping()) {
                return true;
            }
        }
        return false;
    }
}
