package org.turmericspan.feed;

import java.util.List;
import org.turmericspan.ids.StorePosition;

/**
 * One page of items or events of the store.
 *
 * @param items items ordered by key, or events ordered by position
 * @param position position of the store at the time of the read
 * @param isTruncated whether more items follow after the last key
 * @param status how current the source of the page is
 */
public record StorePage(List<StoreItem> items, StorePosition position, boolean isTruncated, RelayStatus status) {
    /**
     * Returns a copy for a response that was not read at once.
     *
     * @param millis time that the response may have been on its way, in milliseconds; a negative one counts as none
     * @return the page with its status as of now
     */
    StorePage olderBy(long millis) {
        return new StorePage(items, position, isTruncated, status.olderBy(millis));
    }
}
