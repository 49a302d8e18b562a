package org.turmericspan.routing;

import org.turmericspan.calls.SlotRequest;

/**
 * A wish that waits at a keeper.
 *
 * @param key identifies it
 * @param slotRequest what is wished for
 * @param isOwn whether this node itself wishes
 * @param sinceNanos monotonic time from which it waits
 */
record Waiter(WishKey key, SlotRequest slotRequest, boolean isOwn, long sinceNanos) {
    boolean takesAnyUpstream() {
        return slotRequest.excludedUpstreams().isEmpty();
    }
}
