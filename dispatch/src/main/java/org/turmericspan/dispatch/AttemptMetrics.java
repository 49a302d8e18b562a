package org.turmericspan.dispatch;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/** Records measurements of calls and attempts. Implementations must not block. */
public interface AttemptMetrics {
    /**
     * Counts a call that arrived.
     *
     * @param service called service
     */
    void recordCall(ServiceId service);

    /**
     * Records a complete response.
     *
     * @param service called service
     * @param elapsed time from the first byte sent to the complete response
     */
    void recordResponse(ServiceId service, Duration elapsed);

    /** Counts an extra attempt, that is a hedge or retry, that was sent. */
    void recordExtraAttempt();

    /**
     * Records a slot decision.
     *
     * @param waited time from the slot request to the decision
     */
    void recordSlotWait(Duration waited);
}
