package org.turmericspan.calls;

import java.util.Set;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * Request for one slot on any upstream of a service.
 *
 * @param service called service
 * @param office account that the caller shares with others
 * @param caller caller within the office
 * @param deadlineNanos monotonic time after which the slot is of no use
 * @param depth number of balanced calls above this one in the call chain
 * @param idempotent whether the request may be sent more than once
 * @param excludedUpstreams upstreams that must not be chosen
 * @param idleOnly whether the request is denied unless a slot is idle now, as for a hedge or a retry
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
     * Creates the slot request of a first attempt.
     *
     * @param request the call
     * @return a slot request that may wait in a queue
     */
    public static SlotRequest forFirstAttempt(CallRequest request) {
        return of(request, Set.of(), false);
    }

    /**
     * Creates the slot request of a retry or hedge, which takes only an idle slot.
     *
     * @param request the call
     * @param excludedUpstreams upstreams already tried
     * @return a slot request that does not wait
     */
    public static SlotRequest forExtraAttempt(CallRequest request, Set<UpstreamId> excludedUpstreams) {
        return of(request, excludedUpstreams, true);
    }

    /**
     * Returns the same slot request with another deadline.
     *
     * @param newDeadlineNanos monotonic time; inside a message between nodes, the remaining time
     * @return a copy with that deadline
     */
    public SlotRequest withDeadlineNanos(long newDeadlineNanos) {
        return new SlotRequest(
                service, office, caller, newDeadlineNanos, depth, idempotent, excludedUpstreams, idleOnly);
    }

    private static SlotRequest of(CallRequest request, Set<UpstreamId> excludedUpstreams, boolean idleOnly) {
        return new SlotRequest(
                request.service(),
                request.office(),
                request.caller(),
                request.deadlineNanos(),
                request.depth(),
                request.idempotent(),
                excludedUpstreams,
                idleOnly);
    }
}
