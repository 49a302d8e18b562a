package org.turmericspan.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Optional;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Requests that lost their connection to an upstream of which it is not known yet whether it died. Bounded. */
public final class LostConnections {
    private static final int MAX_LOST = 256;
    private static final Duration MEMORY = Duration.ofSeconds(10);

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final List<Entry> entries = new LinkedList<>();
    private final MonotonicClock clock;
    private Optional<Fingerprint> onTrial = Optional.empty();

    /**
     * Creates an empty memory.
     *
     * @param clock measures age
     */
    public LostConnections(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Notes that a suspect runs alone from this node.
     *
     * @param fingerprint the suspect
     */
    public void beginTrial(Fingerprint fingerprint) {
        lock.run(() -> onTrial = Optional.of(fingerprint));
    }

    /** Notes that the suspect has run. */
    public void endTrial() {
        lock.run(() -> onTrial = Optional.empty());
    }

    /**
     * Tells whether a suspect runs alone from this node.
     *
     * @param fingerprint the suspect
     * @return true between the begin and the end of its trial
     */
    public boolean isOnTrial(Fingerprint fingerprint) {
        return lock.compute(() -> onTrial.filter(fingerprint::equals).isPresent());
    }

    /**
     * Notes a lost connection.
     *
     * @param upstream the upstream
     * @param fingerprint kind of the request that ran
     */
    public void add(UpstreamId upstream, Fingerprint fingerprint) {
        long nowNanos = clock.nowNanos();
        lock.run(() -> {
            boolean wasOnTrial = onTrial.filter(fingerprint::equals).isPresent();
            entries.add(new Entry(upstream, new LostRequest(fingerprint, wasOnTrial), nowNanos + MEMORY.toNanos()));
            if (entries.size() > MAX_LOST) {
                entries.remove(0);
            }
        });
    }

    /**
     * Takes out what was lost on one upstream.
     *
     * @param upstream the upstream
     * @return requests lost there of late
     */
    public List<LostRequest> drain(UpstreamId upstream) {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            List<LostRequest> taken = new ArrayList<>();
            Iterator<Entry> iterator = entries.iterator();
            while (iterator.hasNext()) {
                Entry entry = iterator.next();
                boolean isFresh = nowNanos < entry.untilNanos;
                if (isFresh && entry.upstream.equals(upstream)) {
                    taken.add(entry.lostRequest);
                }
                if (!isFresh || entry.upstream.equals(upstream)) {
                    iterator.remove();
                }
            }
            return taken;
        });
    }

    /**
     * A request that lost its connection.
     *
     * @param fingerprint its kind
     * @param wasOnTrial whether it ran as a suspect
     */
    public record LostRequest(Fingerprint fingerprint, boolean wasOnTrial) {}

    private record Entry(UpstreamId upstream, LostRequest lostRequest, long untilNanos) {}
}
