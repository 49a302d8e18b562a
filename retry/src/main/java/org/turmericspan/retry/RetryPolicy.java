package org.turmericspan.retry;

import org.turmericspan.calls.UpstreamReply;

/** Decides whether a failed attempt is tried again on another upstream, as far as the call itself allows. */
@FunctionalInterface
public interface RetryPolicy {
    /** Retries and hedges one call may have. */
    int MAX_REPEATS = 2;

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
     * @param latencies recent latencies, which say whether the time left is enough
     * @return the policy
     */
    static RetryPolicy safe(LatencySource latencies) {
        return failed -> isSafe(failed)
                && failed.remainingNanos()
                        > latencies.quantileNanos(failed.request().service()).orElse(0);
    }

    private static boolean isSafe(FailedAttempt failed) {
        UpstreamReply reply = failed.reply();
        boolean isFirst = !failed.request().retried() && failed.repeats() < MAX_REPEATS;
        boolean mayRepeat = failed.request().idempotent() || !reply.mayHaveRun();
        return isFirst && mayRepeat && !reply.signals().cold() && isTransient(reply.kind());
    }

    private static boolean isTransient(UpstreamReply.Kind kind) {
        return switch (kind) {
            case SHED, NOT_CONNECTED, BROKEN, TIMED_OUT -> true;
            case WHOLE, LEASE_VOID, CANCELLED_UNSENT, CANCELLED_SENT, ANSWER_TOO_LARGE -> false;
        };
    }
}
