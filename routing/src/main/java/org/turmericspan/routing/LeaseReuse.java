package org.turmericspan.routing;

import java.time.Duration;

/** How long a borrower may use one lent slot for wishes that wait at it. */
final class LeaseReuse {
    /** Time from the lending after which the slot goes back at the next end of a request. */
    static final Duration WINDOW = Duration.ofMillis(50);

    private LeaseReuse() {}
}
