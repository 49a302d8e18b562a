package org.turmericspan.feed;

import org.turmericspan.ids.StorePosition;

/**
 * One item of the store, or its removal.
 *
 * @param key key of the item
 * @param value value of the item; empty when it was removed
 * @param position position of the store at the last change of the item
 * @param isRemoved whether the item was removed
 */
public record StoreItem(String key, byte[] value, StorePosition position, boolean isRemoved) {}
