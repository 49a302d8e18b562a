package org.turmericspan.routing;

import java.time.Duration;

/** How long a borrower may reuse a lent slot for other requests in its queue. */
final class LeaseReuse {
    /**
     * Time from the arrival of a lent slot during which the borrower may pass it on to its next queued request. When a
     * request ends later, the slot is returned to its owner.
     */
    static final Duration WINDOW = Duration.ofMillis(50);

    private LeaseReuse() {}
}
