package org.turmericspan.retry;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;

/**
 * An attempt that brought no answer of its own.
 *
 * @param request the call
 * @param outcome how the attempt ended
 * @param remainingNanos time left until the call's deadline
 * @param extraAttempts retries and hedges the call has had
 */
public record FailedAttempt(CallRequest request, AttemptOutcome outcome, long remainingNanos, int extraAttempts) {}
