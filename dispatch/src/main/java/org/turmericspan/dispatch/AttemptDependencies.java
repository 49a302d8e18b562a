package org.turmericspan.dispatch;

import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.calls.UpstreamSender;
import org.turmericspan.ids.MonotonicClock;

/**
 * Collaborators of {@link AttemptHandler}.
 *
 * @param catalog provides the limits of the services
 * @param slots grants slots
 * @param sender sends attempts
 * @param crashDetector determines whether an upstream crashed while it ran a request
 * @param timer schedules the check whether a call that is still in flight is hedged
 * @param metrics records calls, responses, extra attempts and slot waits
 * @param clock clock that deadlines refer to
 */
public record AttemptDependencies(
        ServiceCatalog catalog,
        SlotSource slots,
        UpstreamSender sender,
        CrashDetector crashDetector,
        AttemptTimer timer,
        AttemptMetrics metrics,
        MonotonicClock clock) {}
