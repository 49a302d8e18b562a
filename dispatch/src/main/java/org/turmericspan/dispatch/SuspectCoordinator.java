package org.turmericspan.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.Suspicion;

/** Shares suspicions with the other nodes, and grants permits for isolated trials of suspected requests. */
public interface SuspectCoordinator {
    /**
     * Sends a suspicion to the other nodes.
     *
     * @param suspicion current suspicion
     * @return stage that completes when every reachable node has the suspicion, or after a bounded wait; it never
     *     completes exceptionally
     */
    CompletionStage<Void> share(Suspicion suspicion);

    /**
     * Requests the permit to run a suspected request as an isolated trial.
     *
     * @param fingerprint fingerprint of the suspected request
     * @param maxDuration longest time that the trial may take
     * @return the decision; the stage never completes exceptionally
     */
    CompletionStage<TrialAnswer> requestTrial(Fingerprint fingerprint, Duration maxDuration);

    /**
     * Returns the trial permit.
     *
     * @param fingerprint fingerprint of the suspected request
     */
    void endTrial(Fingerprint fingerprint);

    /** Decision on a request for a trial permit. */
    enum TrialAnswer {
        /** The suspected request may run now. */
        GRANTED,
        /** Another suspected request is on trial. */
        BUSY,
        /** The node that grants trial permits cannot be reached. */
        UNREACHABLE
    }
}
