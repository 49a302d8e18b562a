package org.turmericspan.retry;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;

/**
 * An attempt that produced no response for its call.
 *
 * @param request the call
 * @param outcome how the attempt ended
 * @param remainingNanos time remaining until the call's deadline
 * @param extraAttempts retries and hedges made for the call so far
 */
public record FailedAttempt(CallRequest request, AttemptOutcome outcome, long remainingNanos, int extraAttempts) {}
