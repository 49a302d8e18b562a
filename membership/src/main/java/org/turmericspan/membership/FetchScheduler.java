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
 * Decides when a document is fetched from a peer, and from which one. One fetch runs at a time. A peer whose fetch
 * brought no newer version is skipped for a backoff time.
 *
 * @param <V> version of the document
 */
public final class FetchScheduler<V extends Comparable<? super V>> {
    /** Time for which a peer is skipped after a fetch that brought no newer version. */
    static final Duration FAILURE_BACKOFF = Duration.ofSeconds(10);

    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final Map<VmId, Long> backoffUntilNanos = new HashMap<>();
    private boolean fetchRunning;

    /**
     * Chooses the peer to fetch from and marks the fetch as running.
     *
     * @param current newest version known to this node
     * @param offers versions of the document that the peers have
     * @param nowNanos monotonic time
     * @return the peer with the newest version, if newer than the current one; of several such peers the one whose
     *     name sorts last; empty when there is nothing to fetch now
     */
    public Optional<VmId> tryStart(V current, Collection<Offer<V>> offers, long nowNanos) {
        return lock.compute(() -> {
            if (fetchRunning) {
                return Optional.empty();
            }
            backoffUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos <= 0);
            Optional<VmId> best = offers.stream()
                    .filter(offer -> offer.version().compareTo(current) > 0)
                    .filter(offer -> !backoffUntilNanos.containsKey(offer.peer()))
                    .max(Comparator.comparing((Offer<V> offer) -> offer.version())
                            .thenComparing(Offer::peer))
                    .map(Offer::peer);
            fetchRunning = best.isPresent();
            return best;
        });
    }

    /**
     * Marks the running fetch as finished.
     *
     * @param peer peer that was fetched from
     * @param succeeded whether the fetch brought a newer version
     * @param nowNanos monotonic time
     */
    public void finish(VmId peer, boolean succeeded, long nowNanos) {
        lock.run(() -> {
            fetchRunning = false;
            if (!succeeded) {
                backoffUntilNanos.put(peer, nowNanos + FAILURE_BACKOFF.toNanos());
            }
        });
    }

    /**
     * The version of the document that a peer has.
     *
     * @param peer the peer
     * @param version its version
     * @param <V> version of the document
     */
    public record Offer<V>(VmId peer, V version) {}
}
