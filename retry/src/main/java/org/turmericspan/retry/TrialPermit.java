package org.turmericspan.retry;

import java.util.Optional;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * The one right of a region to run a suspected request, kept by one node. A second suspect that ran beside the first
 * could not be told from it.
 */
public final class TrialPermit {
    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final MonotonicClock clock;
    private Optional<Fingerprint> running = Optional.empty();
    private long untilNanos;

    /**
     * Creates a right that nobody holds.
     *
     * @param clock measures how long the right is held
     */
    public TrialPermit(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Takes the right.
     *
     * @param fingerprint the suspect
     * @param spanNanos how long it is held at most
     * @return false when another trial runs
     */
    public boolean tryAcquire(Fingerprint fingerprint, long spanNanos) {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            if (running.isPresent() && nowNanos < untilNanos) {
                return false;
            }
            running = Optional.of(fingerprint);
            untilNanos = nowNanos + spanNanos;
            return true;
        });
    }

    /**
     * Gives the right back.
     *
     * @param fingerprint the suspect whose trial ended; another one changes nothing
     */
    public void release(Fingerprint fingerprint) {
        lock.run(() -> running = running.filter(held -> !held.equals(fingerprint)));
    }
}
