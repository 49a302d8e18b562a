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
 * @param excludedUpstreams upstreams that must not be chosen
 * @param idleOnly whether only a slot idle now will do, as for a hedge or a retry
 */
public record SlotRequest(
        ServiceId service,
        OfficeId office,
        CallerId caller,
        long deadlineNanos,
        int depth,
        boolean idempotent,
        Set<UpstreamId> excludedUpstreams,
        boolean idleOnly) {
    /** Copies the set. */
    public SlotRequest {
        excludedUpstreams = Set.copyOf(excludedUpstreams);
    }

    /**
     * Builds the wish of a first attempt.
     *
     * @param request the call
     * @return a wish that may wait
     */
    public static SlotRequest forFirstAttempt(CallRequest request) {
        return of(request, Set.of(), false);
    }

    /**
     * Builds the wish of a retry or hedge, which takes idle slots only.
     *
     * @param request the call
     * @param excludedUpstreams upstreams already tried
     * @return a wish that does not wait
     */
    public static SlotRequest forExtraAttempt(CallRequest request, Set<UpstreamId> avoid) {
        return of(request, avoid, true);
    }

    /**
     * Returns the same wish with another deadline.
     *
     * @param newDeadlineNanos monotonic time, or the remaining span inside a message between nodes
     * @return a copy
     */
    public SlotRequest withDeadlineNanos(long newDeadlineNanos) {
        return new SlotRequest(
                service, office, caller, newDeadlineNanos, depth, idempotent, excludedUpstreams, idleOnly);
    }

    private static SlotRequest of(CallRequest request, Set<UpstreamId> avoid, boolean idleOnly) {
        return new SlotRequest(
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
