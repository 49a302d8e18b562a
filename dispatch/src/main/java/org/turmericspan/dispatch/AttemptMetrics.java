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
     * Records the complete response to an attempt, also when another attempt has already decided the call.
     *
     * @param service called service
     * @param elapsed time from the first byte sent to the complete response
     */
    void recordResponse(ServiceId service, Duration elapsed);

    /** Counts an attempt that is sent after the first one of its call, as a retry or hedge. */
    void recordExtraAttempt();

    /**
     * Records that a slot request was granted or denied.
     *
     * @param waited time from the slot request until it was granted or denied
     */
    void recordSlotWait(Duration waited);
}
