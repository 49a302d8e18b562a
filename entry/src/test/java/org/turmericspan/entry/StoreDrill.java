package org.turmericspan.entry;

import java.time.Duration;
import java.util.Random;
import java.util.function.Predicate;
import org.turmericspan.entry.RelayFleet.Node;

/**
 * Takes the store of a fleet away and brings it back from an older copy. Afterwards the operators and the upstreams
 * write again what the copy lacks.
 *
 * @param copyAge age of the copy when the store goes away
 * @param away time for which the store is away
 * @param keepsHistory whether the store still has the history before the copy
 */
record StoreDrill(Duration copyAge, Duration away, boolean keepsHistory) {
    private static final int MIN_REWRITE_MILLIS = 200;
    private static final int MAX_REWRITE_MILLIS = 1_800;

    /** Takes the store away; returns once it is back for the nodes that it serves. */
    void play(RelayFleet fleet, Predicate<Node> served, Random random) {
        fleet.storeServes(node -> false, Link.REFUSING);
        fleet.store().suspend();
        fleet.advance(away);
        fleet.store().restore(copyAge.plus(away), keepsHistory);
        fleet.storeServes(served, Link.REJECTING);
        for (String key : fleet.store().outdatedKeys()) {
            int delayMillis = MIN_REWRITE_MILLIS + random.nextInt(MAX_REWRITE_MILLIS - MIN_REWRITE_MILLIS);
            fleet.after(Duration.ofMillis(delayMillis), () -> fleet.store().writeAgain(key));
        }
    }
}
