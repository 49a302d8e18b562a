package org.turmericspan.membership;

/**
 * A configuration document that was offered and found invalid.
 *
 * @param digest digest of the document
 * @param source origin of the document
 * @param message all errors found in the document
 * @param rejectedNanos monotonic time of the rejection
 */
public record RejectedConfiguration(String digest, String source, String message, long rejectedNanos) {}
