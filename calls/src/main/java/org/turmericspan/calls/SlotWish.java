package org.turmericspan.calls;

import java.util.Set;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * Wish for one slot on any upstream of a service.
 *
 * @param service service called
 * @param office account the caller works under
 * @param caller the caller
 * @param deadlineNanos monotonic time after which the slot is of no use
 * @param depth number of balanced calls above this one
 * @param idempotent whether the request may be repeated
 * @param avoid upstreams that must not be chosen
 * @param idleOnly whether only a slot idle now will do, as for a hedge or a retry
 */
public record SlotWish(
        ServiceId service,
        OfficeId office,
        CallerId caller,
        long deadlineNanos,
        int depth,
        boolean idempotent,
        Set<UpstreamId> avoid,
        boolean idleOnly) {
    /** Copies the set. */
    public SlotWish {
        avoid = Set.copyOf(avoid);
    }

    /**
     * Builds the wish of a first attempt.
     *
     * @param request the call
     * @return a wish that may wait
     */
    public static SlotWish first(CallRequest request) {
        return of(request, Set.of(), false);
    }

    /**
     * Builds the wish of a retry or hedge, which takes idle slots only.
     *
     * @param request the call
     * @param avoid upstreams already tried
     * @return a wish that does not wait
     */
    public static SlotWish repeat(CallRequest request, Set<UpstreamId> avoid) {
        return of(request, avoid, true);
    }

    /**
     * Returns the same wish with another deadline.
     *
     * @param newDeadlineNanos monotonic time, or the remaining span inside a message between nodes
     * @return a copy
     */
    public SlotWish withDeadlineNanos(long newDeadlineNanos) {
        return new SlotWish(service, office, caller, newDeadlineNanos, depth, idempotent, avoid, idleOnly);
    }

    private static SlotWish of(CallRequest request, Set<UpstreamId> avoid, boolean idleOnly) {
        return new SlotWish(
                request.service(),
                request.office(),
                request.caller(),
                request.deadlineNanos(),
                request.depth(),
                request.idempotent(),
                avoid,
                idleOnly);
    }
}
