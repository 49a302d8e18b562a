package org.turmericspan.membership;

/**
 * A configuration document that was offered and found invalid.
 *
 * @param digest digest of the document, by which it is recognized when it is offered again
 * @param source origin of the document, such as a peer or the platform
 * @param message all errors found in the document
 * @param rejectedNanos monotonic time of the rejection
 */
public record RejectedConfiguration(String digest, String source, String message, long rejectedNanos) {}
