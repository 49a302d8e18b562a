package org.turmericspan.retry;

import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.UpstreamReply;

/**
 * An attempt that brought no answer of its own.
 *
 * @param request the call
 * @param reply how the attempt ended
 * @param remainingNanos time left until the call's deadline
 * @param repeats retries and hedges the call has had
 */
public record FailedAttempt(CallRequest request, UpstreamReply reply, long remainingNanos, int repeats) {}
