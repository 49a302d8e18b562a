package org.turmericspan.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.Suspicion;

/**
 * Shares with the other nodes which requests are suspected of crashing upstreams, and grants permits for isolated
 * trials. A trial sends one suspected request while no other one is on trial, so that a crash can be attributed to it.
 */
public interface SuspectCoordinator {
    /**
     * Sends a suspicion to the other nodes.
     *
     * @param suspicion current suspicion, also one that a response has just cleared
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
     * Gives the trial permit back after a trial, or when the trial is not started.
     *
     * @param fingerprint fingerprint of the suspected request
     */
    void endTrial(Fingerprint fingerprint);

    /** Decision on a request for a trial permit. */
    enum TrialAnswer {
        /** The permit was granted; the suspected request may be sent now. */
        GRANTED,
        /** Another suspected request is on trial. */
        BUSY,
        /** The node that grants trial permits cannot be reached. */
        UNREACHABLE
    }
}
