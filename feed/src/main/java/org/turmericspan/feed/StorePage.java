package org.turmericspan.feed;

import java.util.List;

/**
 * One answer of the store.
 *
 * @param items items or events, in their order
 * @param revision the store's revision
 * @param isTruncated whether more items follow after the last key
 */
public record StorePage(List<StoreItem> items, long revision, boolean isTruncated) {}
