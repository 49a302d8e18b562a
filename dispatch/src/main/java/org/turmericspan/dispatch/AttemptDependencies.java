package org.turmericspan.dispatch;

import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.calls.UpstreamSender;
import org.turmericspan.ids.MonotonicClock;

/**
 * What attempts are made with.
 *
 * @param catalog limits of the services
 * @param slots grants slots
 * @param sender sends attempts
 * @param crashDetector finds out whether an upstream died
 * @param timer delays hedges
 * @param metrics counts
 * @param clock measures deadlines
 */
public record AttemptDependencies(
        ServiceCatalog catalog,
        SlotSource slots,
        UpstreamSender sender,
        CrashDetector crashDetector,
        AttemptTimer timer,
        AttemptMetrics metrics,
        MonotonicClock clock) {}
