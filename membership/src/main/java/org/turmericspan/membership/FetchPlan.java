package org.turmericspan.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.VmId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Decides when a document is fetched from a peer, and from which. One fetch runs at a time. A peer whose fetch brought
 * nothing higher rests for a while.
 *
 * @param <V> version of the document
 */
public final class FetchPlan<V extends Comparable<? super V>> {
    static final Duration REST_AFTER_FAILURE = Duration.ofSeconds(10);

    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final Map<VmId, Long> restUntilNanos = new HashMap<>();
    private boolean running;

    /**
     * Chooses the peer to fetch from and marks the fetch as running.
     *
     * @param current version in force here
     * @param offers versions in force at the peers, in random order; of equal ones the first is taken
     * @param nowNanos monotonic time
     * @return the peer with the highest version above the current one, or empty when there is nothing to fetch now
     */
    public Optional<VmId> begin(V current, Collection<Offer<V>> offers, long nowNanos) {
        return lock.compute(() -> {
            if (running) {
                return Optional.empty();
            }
            restUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
            Optional<VmId> best = offers.stream()
                    .filter(offer -> offer.version().compareTo(current) > 0)
                    .filter(offer -> !restUntilNanos.containsKey(offer.peer()))
                    .max(Comparator.comparing((Offer<V> offer) -> offer.version())
                            .thenComparing(Offer::peer))
                    .map(Offer::peer);
            running = best.isPresent();
            return best;
        });
    }

    /**
     * Marks the running fetch as ended.
     *
     * @param peer where it was fetched from
     * @param succeeded whether it brought a higher version into force
     * @param nowNanos monotonic time
     */
    public void end(VmId peer, boolean succeeded, long nowNanos) {
        lock.run(() -> {
            running = false;
            if (!succeeded) {
                restUntilNanos.put(peer, nowNanos + REST_AFTER_FAILURE.toNanos());
            }
        });
    }

    /**
     * A version that a peer has in force.
     *
     * @param peer the peer
     * @param version its version
     * @param <V> version of the document
     */
    public record Offer<V>(VmId peer, V version) {}
}
