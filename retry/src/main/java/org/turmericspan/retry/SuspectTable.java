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

/** Kinds of requests suspected of crashing upstreams. Bounded: the oldest suspicion makes room for a new one. */
public final class SuspectTable {
    private static final int MAX_SUSPECTS = 256;
    private static final Duration SUSPICION = Duration.ofMinutes(1);
    private static final Duration QUARANTINE = Duration.ofMinutes(10);

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final Map<Fingerprint, Entry> entries = new LinkedHashMap<>();
    private final MonotonicClock clock;
    private volatile boolean isEmpty = true;

    /**
     * Creates an empty table.
     *
     * @param clock measures how long suspicions last
     */
    public SuspectTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Tells without a lock whether nothing is suspected, so that the usual call pays nothing.
     *
     * @return true when there is no suspicion
     */
    public boolean isEmpty() {
        return isEmpty;
    }

    /**
     * Looks up a kind of request.
     *
     * @param fingerprint the kind of request
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
     * Takes in the death of an upstream.
     *
     * @param fingerprint kind of a request that ran there
     * @param upstream the upstream
     * @param wasAlone whether the request was on trial
     * @return the suspicion to share
     */
    public Suspicion recordCrash(Fingerprint fingerprint, UpstreamId upstream, boolean wasAlone) {
        return merge(new Suspicion(fingerprint, Set.of(upstream), wasAlone, SUSPICION))
                .orElseThrow();
    }

    /**
     * Takes in an answer to a suspected kind of request, which clears it unless an upstream died that ran it alone.
     *
     * @param fingerprint the kind of request
     * @return the news to share, or empty when there is none
     */
    public Optional<Suspicion> recordResponse(Fingerprint fingerprint) {
        return lock.compute(() -> {
            Entry entry = entries.get(fingerprint);
            if (entry == null || entry.diedAlone) {
                return Optional.empty();
            }
            entries.remove(fingerprint);
            isEmpty = entries.isEmpty();
            return Optional.of(Suspicion.cleared(fingerprint));
        });
    }

    /**
     * Takes in what another node shared.
     *
     * @param news a suspicion, or that one is cleared
     * @return what is known now, or empty when nothing is suspected
     */
    public Optional<Suspicion> merge(Suspicion news) {
        if (news.isCleared()) {
            recordResponse(news.fingerprint());
            return Optional.empty();
        }
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            expire(nowNanos);
            Entry entry = entries.computeIfAbsent(news.fingerprint(), key -> new Entry());
            entry.add(news, nowNanos);
            makeRoom();
            isEmpty = entries.isEmpty();
            return Optional.of(entry.describe(news.fingerprint(), nowNanos));
        });
    }

    /**
     * Describes the table.
     *
     * @return the suspicions, the oldest first
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
        entries.values().removeIf(entry -> entry.untilNanos <= nowNanos);
        isEmpty = entries.isEmpty();
    }

    private void makeRoom() {
        Iterator<Entry> oldest = entries.values().iterator();
        while (entries.size() > MAX_SUSPECTS) {
            oldest.next();
            oldest.remove();
        }
    }

    private static final class Entry {
        private final Set<UpstreamId> lost = new HashSet<>();
        private boolean diedAlone;
        private long untilNanos = Long.MIN_VALUE;

        void add(Suspicion news, long nowNanos) {
            lost.addAll(news.crashedUpstreams());
            diedAlone |= news.crashedInIsolation();
            boolean isQuarantined = describe(news.fingerprint(), nowNanos).isQuarantined();
            Duration span = isQuarantined && news.remaining().compareTo(SUSPICION) <= 0 ? QUARANTINE : news.remaining();
            untilNanos = Math.max(untilNanos, nowNanos + min(span, QUARANTINE).toNanos());
        }

        Suspicion describe(Fingerprint fingerprint, long nowNanos) {
            return new Suspicion(fingerprint, lost, diedAlone, Duration.ofNanos(Math.max(0, untilNanos - nowNanos)));
        }

        private static Duration min(Duration one, Duration other) {
            return one.compareTo(other) < 0 ? one : other;
        }
    }
}
