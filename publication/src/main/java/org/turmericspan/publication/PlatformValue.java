package org.turmericspan.publication;

/**
 * One value as the platform holds it.
 *
 * @param revision grows with each change
 * @param text the value
 */
public record PlatformValue(long revision, String text) {}
