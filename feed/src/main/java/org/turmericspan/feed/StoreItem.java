package org.turmericspan.feed;

/**
 * One item of the store, or its removal.
 *
 * @param key its key
 * @param value its bytes; empty when it was removed
 * @param revision the store's revision of its last change
 * @param isRemoved whether it was removed
 */
public record StoreItem(String key, byte[] value, long revision, boolean isRemoved) {}
