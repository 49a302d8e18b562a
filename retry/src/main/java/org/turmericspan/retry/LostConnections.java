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

/** Bounded list of requests that lost their connection, until it is known whether their upstream crashed. */
public final class LostConnections {
    /** Maximum number of entries; a new one evicts the oldest. */
    private static final int MAX_ENTRIES = 256;
    /** Time within which a crash of the upstream is attributed to a lost request. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final List<Entry> entries = new LinkedList<>();
    private final MonotonicClock clock;
    /** The suspect whose isolated trial this node runs; empty when it runs none. */
    private Optional<Fingerprint> trialSuspect = Optional.empty();

    /**
     * Creates an empty list.
     *
     * @param clock source of monotonic time
     */
    public LostConnections(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that this node has started the isolated trial of a suspect.
     *
     * @param fingerprint the suspect
     */
    public void beginTrial(Fingerprint fingerprint) {
        lock.run(() -> trialSuspect = Optional.of(fingerprint));
    }

    /** Records that the isolated trial has ended. */
    public void endTrial() {
        lock.run(() -> trialSuspect = Optional.empty());
    }

    /**
     * Returns whether this node runs the isolated trial of a suspect.
     *
     * @param fingerprint the suspect
     * @return true between the start and the end of its trial
     */
    public boolean isOnTrial(Fingerprint fingerprint) {
        return lock.compute(() -> trialSuspect.filter(fingerprint::equals).isPresent());
    }

    /**
     * Records that a request lost its connection.
     *
     * @param upstream upstream to which the connection was lost
     * @param fingerprint fingerprint of the request that it was running
     */
    public void add(UpstreamId upstream, Fingerprint fingerprint) {
        long nowNanos = clock.nowNanos();
        lock.run(() -> {
            boolean wasOnTrial = trialSuspect.filter(fingerprint::equals).isPresent();
            entries.add(new Entry(upstream, new LostRequest(fingerprint, wasOnTrial), nowNanos + RETENTION.toNanos()));
            if (entries.size() > MAX_ENTRIES) {
                entries.remove(0);
            }
        });
    }

    /**
     * Removes and returns the requests that lost their connection to an upstream.
     *
     * @param upstream the upstream
     * @return the requests that lost it within the retention time
     */
    public List<LostRequest> drain(UpstreamId upstream) {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            List<LostRequest> drained = new ArrayList<>();
            Iterator<Entry> iterator = entries.iterator();
            while (iterator.hasNext()) {
                Entry entry = iterator.next();
                boolean isCurrent = nowNanos < entry.expiresAtNanos;
                if (isCurrent && entry.upstream.equals(upstream)) {
                    drained.add(entry.lostRequest);
                }
                if (!isCurrent || entry.upstream.equals(upstream)) {
                    iterator.remove();
                }
            }
            return drained;
        });
    }

    /**
     * A request that lost its connection to an upstream.
     *
     * @param fingerprint fingerprint of the request
     * @param wasOnTrial whether the request ran in an isolated trial
     */
    public record LostRequest(Fingerprint fingerprint, boolean wasOnTrial) {}

    private record Entry(UpstreamId upstream, LostRequest lostRequest, long expiresAtNanos) {}
}
