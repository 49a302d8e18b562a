package org.turmericspan.feed;

import org.turmericspan.ids.StorePosition;

/** What a page of changes is good for, by the position after which they were requested and what was read meanwhile. */
enum PageUse {
    /** It has every change after the replica's position. */
    CHANGES,
    /** It continues a position that the replica has left meanwhile; the next read gets what follows. */
    OVERTAKEN,
    /** It is of an era before that of the replica, for example sent before the store was restored. */
    EARLIER_ERA,
    /** The store does not have the replica's history any more, so that all items have to be listed. */
    LIST_NEEDED;

    /**
     * Classifies a page. The store gives out revisions again after a restoration, so that the changes after a position
     * of an earlier era are not all that differs; a node tells all differences between two eras.
     *
     * @param source source of the page
     * @param after position after which changes were requested
     * @param page the page
     * @param replica position of the replica as of now
     * @return the use
     */
    static PageUse of(StoreSource source, StorePosition after, StorePage page, StorePosition replica) {
        if (after.isAfter(replica)) {
            return OVERTAKEN;
        }
        if (!source.isStore()) {
            // The differences to an earlier era leave out what was lost and written again.
            return replica.isInLaterEra(after) ? OVERTAKEN : CHANGES;
        }
        if (page.position().isInLaterEra(replica)) {
            return LIST_NEEDED;
        }
        if (replica.isInLaterEra(page.position())) {
            return EARLIER_ERA;
        }
        if (replica.isInLaterEra(after)) {
            return OVERTAKEN;
        }
        return after.isAfter(page.position()) ? LIST_NEEDED : CHANGES;
    }
}
