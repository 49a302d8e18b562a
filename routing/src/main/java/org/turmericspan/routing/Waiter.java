package org.turmericspan.routing;

import org.turmericspan.calls.SlotWish;

/**
 * A wish that waits at a keeper.
 *
 * @param key identifies it
 * @param wish what is wished for
 * @param isOwn whether this node itself wishes
 * @param sinceNanos monotonic time from which it waits
 */
record Waiter(WishKey key, SlotWish wish, boolean isOwn, long sinceNanos) {
    boolean takesAnyUpstream() {
        return wish.avoid().isEmpty();
    }
}
