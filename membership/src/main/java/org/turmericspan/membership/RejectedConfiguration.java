package org.turmericspan.membership;

/**
 * A configuration that was offered and not accepted.
 *
 * @param digest digest of the document
 * @param source where it came from
 * @param message every fault found
 * @param rejectedNanos monotonic time of the refusal
 */
public record RejectedConfiguration(String digest, String source, String message, long rejectedNanos) {}
