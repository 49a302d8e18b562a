package org.turmericspan.retry;

import org.turmericspan.calls.AttemptOutcome;

/** Decides whether a call may be retried on another upstream after a failed attempt, apart from the retry budget. */
@FunctionalInterface
public interface RetryPolicy {
    /** Maximum number of retries and hedges of one call. */
    int MAX_EXTRA_ATTEMPTS = 2;

    /**
     * Decides on one failed attempt. The retry budget is checked afterwards.
     *
     * @param failed the failed attempt
     * @return true when another attempt is safe and useful
     */
    boolean allows(FailedAttempt failed);

    /**
     * Returns the policy that never retries.
     *
     * @return a policy that allows no retry, whatever the failure; for tests and comparisons
     */
    static RetryPolicy none() {
        return failed -> false;
    }

    /**
     * Returns the policy that retries a call only if the remaining time is likely to suffice and a retry is safe. It is
     * safe for an idempotent request after any transient failure, and for any other request only with proof that it
     * did not run. A call that was already retried at a higher level is not retried again. Neither is one that failed
     * on a cold upstream, because the retry would go to the upstreams that already serve the cold upstream's share of
     * the load.
     *
     * @param quantile latency that the remaining time must exceed; while it is unknown, any remaining time suffices
     * @return the policy
     */
    static RetryPolicy whenSafe(LatencyQuantile quantile) {
        return failed -> isSafe(failed)
                && failed.remainingNanos()
                        > quantile.quantileNanos(failed.request().service()).orElse(0);
    }

    private static boolean isSafe(FailedAttempt failed) {
        AttemptOutcome outcome = failed.outcome();
        boolean isWithinLimit = !failed.request().retried() && failed.extraAttempts() < MAX_EXTRA_ATTEMPTS;
        boolean mayRunAgain = failed.request().idempotent() || !outcome.mayHaveRun();
        return isWithinLimit && mayRunAgain && !outcome.signals().cold() && isTransient(outcome.kind());
    }

    private static boolean isTransient(AttemptOutcome.Kind kind) {
        return switch (kind) {
            case SHED, CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT -> true;
            case COMPLETE, LEASE_INVALID, CANCELLED_BEFORE_SEND, CANCELLED_AFTER_SEND, ANSWER_TOO_LARGE -> false;
        };
    }
}
