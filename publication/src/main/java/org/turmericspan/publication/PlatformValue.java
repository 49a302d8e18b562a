package org.turmericspan.publication;

/**
 * Value stored by the platform, with its revision.
 *
 * @param revision number that increases with each change
 * @param text the value
 */
public record PlatformValue(long revision, String text) {}
