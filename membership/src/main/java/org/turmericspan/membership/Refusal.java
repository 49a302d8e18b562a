package org.turmericspan.membership;

/**
 * A configuration that was offered and not accepted.
 *
 * @param digest digest of the document
 * @param source where it came from
 * @param message every fault found
 * @param refusedNanos monotonic time of the refusal
 */
public record Refusal(String digest, String source, String message, long refusedNanos) {}
