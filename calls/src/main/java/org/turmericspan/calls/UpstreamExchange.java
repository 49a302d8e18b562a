package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** Attempt in progress. */
public interface UpstreamExchange {
    /**
     * Returns the outcome of the attempt.
     *
     * @return the outcome; the stage never completes exceptionally
     */
    CompletionStage<AttemptOutcome> outcome();

    /** Cancels the attempt; the outcome then indicates whether bytes were sent. */
    void cancel();
}
