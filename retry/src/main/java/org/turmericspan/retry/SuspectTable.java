package org.turmericspan.retry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Bounded table of request fingerprints suspected of crashing upstreams. A full table evicts its oldest entry. */
public final class SuspectTable {
    /** Maximum number of suspected fingerprints. */
    private static final int MAX_SUSPECTS = 256;
    /** Time for which a request is suspected after a crash. */
    private static final Duration SUSPICION_DURATION = Duration.ofMinutes(1);
    /** Time for which a quarantined request is refused. */
    private static final Duration QUARANTINE_DURATION = Duration.ofMinutes(10);

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
    private final MonotonicClock clock;
    private volatile boolean isEmpty = true;

    /**
     * Creates an empty table.
     *
     * @param clock source of monotonic time
     */
    public SuspectTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns whether there is no suspicion. It takes no lock, to keep the common case cheap.
     *
     * @return true when there is no suspicion
     */
    public boolean isEmpty() {
        return isEmpty;
    }

    /**
     * Returns the suspicion against a request.
     *
     * @param fingerprint fingerprint of the request
     * @return the suspicion, or empty when there is none
     */
    public Optional<Suspicion> find(Fingerprint fingerprint) {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            expire(nowNanos);
            return Optional.ofNullable(entries.get(fingerprint)).map(entry -> entry.describe(fingerprint, nowNanos));
        });
    }

    /**
     * Records that an upstream crashed while it was running a request.
     *
     * @param fingerprint fingerprint of a request that was running there
     * @param upstream upstream that crashed
     * @param inIsolation whether the request ran in an isolated trial
     * @return the suspicion to share with other nodes
     */
    public Suspicion recordCrash(Fingerprint fingerprint, UpstreamId upstream, boolean inIsolation) {
        return merge(new Suspicion(fingerprint, Set.of(upstream), inIsolation, SUSPICION_DURATION))
                .orElseThrow();
    }

    /**
     * Records a response to a suspected request, which clears the suspicion unless an upstream crashed in an isolated
     * trial of the request.
     *
     * @param fingerprint fingerprint of the request
     * @return the update to share with other nodes, or empty when nothing changed
     */
    public Optional<Suspicion> recordResponse(Fingerprint fingerprint) {
        return lock.compute(() -> {
            Entry entry = entries.get(fingerprint);
            if (entry == null || entry.crashedInIsolation) {
                return Optional.empty();
            }
            entries.remove(fingerprint);
            isEmpty = entries.isEmpty();
            return Optional.of(Suspicion.cleared(fingerprint));
        });
    }

    /**
     * Merges an update from another node.
     *
     * @param update a suspicion, or the clearing of one
     * @return the resulting suspicion, or empty when it is cleared
     */
    public Optional<Suspicion> merge(Suspicion update) {
        if (update.isCleared()) {
            recordResponse(update.fingerprint());
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            expire(nowNanos);
            Entry entry = entries.computeIfAbsent(update.fingerprint(), key -> new Entry());
            entry.add(update, nowNanos);
            evictOldest();
            isEmpty = entries.isEmpty();
            return Optional.of(entry.describe(update.fingerprint(), nowNanos));
        });
    }

    /**
     * Returns all suspicions, for a state dump.
     *
     * @return the suspicions, oldest first
     */
    public List<Suspicion> dump() {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            expire(nowNanos);
            return entries.entrySet().stream()
                    .map(entry -> entry.getValue().describe(entry.getKey(), nowNanos))
                    .toList();
        });
    }

    private void expire(long nowNanos) {
        entries.values().removeIf(entry -> entry.expiresAtNanos <= nowNanos);
        isEmpty = entries.isEmpty();
    }

    private void evictOldest() {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > MAX_SUSPECTS) {
            oldest.next();
            oldest.remove();
        }
    }

    private static final class Entry {
        private final Set<UpstreamId> crashedUpstreams = new HashSet<>();
        private boolean crashedInIsolation;
        private long expiresAtNanos = Long.MIN_VALUE;

        void add(Suspicion update, long nowNanos) {
            crashedUpstreams.addAll(update.crashedUpstreams());
            crashedInIsolation |= update.crashedInIsolation();
            boolean isQuarantined = describe(update.fingerprint(), nowNanos).isQuarantined();
            Duration duration = isQuarantined && update.remaining().compareTo(SUSPICION_DURATION) <= 0
                    ? QUARANTINE_DURATION
                    : update.remaining();
            expiresAtNanos = Math.max(
                    expiresAtNanos,
                    nowNanos + min(duration, QUARANTINE_DURATION).toNanos());
        }

        Suspicion describe(Fingerprint fingerprint, long nowNanos) {
            return new Suspicion(
                    fingerprint,
                    crashedUpstreams,
                    crashedInIsolation,
                    Duration.ofNanos(Math.max(0, expiresAtNanos - nowNanos)));
        }

        private static Duration min(Duration first, Duration second) {
            return first.compareTo(second) < 0 ? first : second;
        }
    }
}
