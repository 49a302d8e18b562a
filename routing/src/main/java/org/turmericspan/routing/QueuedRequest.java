package org.turmericspan.routing;

import org.turmericspan.calls.SlotRequest;

/**
 * A slot request in the queue of an owner.
 *
 * @param requestId identifies the request
 * @param slotRequest the request
 * @param isLocal whether it comes from this node
 * @param enqueuedNanos monotonic time at which it arrived
 */
record QueuedRequest(SlotRequestId requestId, SlotRequest slotRequest, boolean isLocal, long enqueuedNanos) {
    boolean acceptsAnyUpstream() {
        return slotRequest.excludedUpstreams().isEmpty();
    }
}
