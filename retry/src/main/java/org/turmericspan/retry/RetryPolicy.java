package org.turmericspan.retry;

import org.turmericspan.calls.AttemptOutcome;

/** Decides whether a failed attempt is tried again on another upstream, as far as the call itself allows. */
@FunctionalInterface
public interface RetryPolicy {
    /** Retries and hedges one call may have. */
    int MAX_EXTRA_ATTEMPTS = 2;

    /**
     * Decides on one failed attempt. The budget is asked afterwards.
     *
     * @param failed the attempt
     * @return true when another attempt is safe and of use
     */
    boolean allows(FailedAttempt failed);

    /**
     * Returns the policy that never retries.
     *
     * @return a policy for tests and comparisons
     */
    static RetryPolicy none() {
        return failed -> false;
    }

    /**
     * Returns the policy that retries what cannot run twice by it: an idempotent request after any failure, another
     * one only with proof that it did not run. A call retried above is not retried again, nor is one that failed on a
     * cold upstream, since its next attempt would go where the cold upstream's share went.
     *
     * @param quantile recent latencies, which say whether the time left is enough
     * @return the policy
     */
    static RetryPolicy whenSafe(LatencyQuantile quantile) {
        return failed -> isSafe(failed)
                && failed.remainingNanos()
                        > quantile.quantileNanos(failed.request().service()).orElse(0);
    }

    private static boolean isSafe(FailedAttempt failed) {
        AttemptOutcome outcome = failed.outcome();
        boolean isFirst = !failed.request().retried() && failed.extraAttempts() < MAX_EXTRA_ATTEMPTS;
        boolean mayRepeat = failed.request().idempotent() || !outcome.mayHaveRun();
        return isFirst && mayRepeat && !outcome.signals().cold() && isTransient(outcome.kind());
    }

    private static boolean isTransient(AttemptOutcome.Kind kind) {
        return switch (kind) {
            case SHED, CONNECT_FAILED, CONNECTION_LOST, TIMED_OUT -> true;
            case COMPLETE, LEASE_INVALID, CANCELLED_BEFORE_SEND, CANCELLED_AFTER_SEND, ANSWER_TOO_LARGE -> false;
        };
    }
}
