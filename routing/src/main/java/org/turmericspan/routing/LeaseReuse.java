package org.turmericspan.routing;

import java.time.Duration;

/** How long a borrower may reuse a lent slot for other requests in its queue. */
final class LeaseReuse {
    /** Time after the slot was lent; a request that ends later than this returns the slot. */
    static final Duration WINDOW = Duration.ofMillis(50);

    private LeaseReuse() {}
}
