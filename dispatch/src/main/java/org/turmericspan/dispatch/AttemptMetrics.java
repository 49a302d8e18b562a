package org.turmericspan.dispatch;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/** Is told what calls cost. Its methods return at once. */
public interface AttemptMetrics {
    /**
     * Counts a call that arrived.
     *
     * @param service service called
     */
    void recordCall(ServiceId service);

    /**
     * Counts a whole answer.
     *
     * @param service service called
     * @param elapsed from the first byte sent to the whole answer
     */
    void recordResponse(ServiceId service, Duration elapsed);

    /** Counts a hedge or retry that was sent. */
    void recordExtraAttempt();

    /**
     * Counts a slot decision.
     *
     * @param waited time from the wish to its decision
     */
    void recordSlotWait(Duration waited);
}
