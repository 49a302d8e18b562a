package org.turmericspan.feed;

/**
 * One item of the store, or its removal.
 *
 * @param key key of the item
 * @param value value of the item; empty when it was removed
 * @param revision revision of the store at the last change of the item
 * @param isRemoved whether the item was removed
 */
public record StoreItem(String key, byte[] value, long revision, boolean isRemoved) {}
