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

/** Bounded list of requests that lost the connection to their upstream, when it is not known whether it crashed. */
public final class LostConnections {
    private static final int MAX_ENTRIES = 256;
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final List<Entry> entries = new LinkedList<>();
    private final MonotonicClock clock;
    private Optional<Fingerprint> onTrial = Optional.empty();

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
        lock.run(() -> onTrial = Optional.of(fingerprint));
    }

    /** Records that the isolated trial has ended. */
    public void endTrial() {
        lock.run(() -> onTrial = Optional.empty());
    }

    /**
     * Returns whether this node runs the isolated trial of a suspect.
     *
     * @param fingerprint the suspect
     * @return true between the start and the end of its trial
     */
    public boolean isOnTrial(Fingerprint fingerprint) {
        return lock.compute(() -> onTrial.filter(fingerprint::equals).isPresent());
    }

    /**
     * Records a lost connection.
     *
     * @param upstream the upstream
     * @param fingerprint fingerprint of the request that was running
     */
    public void add(UpstreamId upstream, Fingerprint fingerprint) {
        long nowNanos = clock.nowNanos();
        lock.run(() -> {
            boolean wasOnTrial = onTrial.filter(fingerprint::equals).isPresent();
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
