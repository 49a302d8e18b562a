package org.turmericspan.dispatch;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.Suspicion;

/** Shares suspicions with the other nodes, and the right to run a suspected request. */
public interface SuspectCoordinator {
    /**
     * Tells the other nodes.
     *
     * @param suspicion what is known now
     * @return ends when every node that can be reached knows, or after a bounded wait; never exceptionally
     */
    CompletionStage<Void> share(Suspicion suspicion);

    /**
     * Asks for the right to run a suspected request.
     *
     * @param fingerprint the suspect
     * @param longest how long the run may take
     * @return the answer; the stage never completes exceptionally
     */
    CompletionStage<TrialAnswer> requestTrial(Fingerprint fingerprint, Duration longest);

    /**
     * Gives the right back.
     *
     * @param fingerprint the suspect
     */
    void endTrial(Fingerprint fingerprint);

    /** Answer to a request for a trial. */
    enum TrialAnswer {
        /** The suspect may run now. */
        GRANTED,
        /** Another suspect runs now. */
        BUSY,
        /** The node that keeps the right cannot be reached. */
        UNREACHABLE
    }
}
