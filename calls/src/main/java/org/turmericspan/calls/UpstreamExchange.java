package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** One attempt under way. */
public interface UpstreamExchange {
    /**
     * Returns how the attempt ends.
     *
     * @return the reply; the stage never completes exceptionally
     */
    CompletionStage<AttemptOutcome> outcome();

    /** Cancels the attempt; the reply then tells whether bytes were sent. */
    void cancel();
}
