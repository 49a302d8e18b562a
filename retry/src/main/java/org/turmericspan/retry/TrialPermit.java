package org.turmericspan.retry;

import java.util.Optional;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Permit for the isolated trial of a suspected request. One node grants the only permit of the region, because a crash
 * could not be attributed to one of two suspects that ran at the same time.
 */
public final class TrialPermit {
    private final RankedLock lock = new RankedLock(LockRank.SUSPECTS);
    private final MonotonicClock clock;
    private Optional<Fingerprint> holder = Optional.empty();
    private long expiresAtNanos;

    /**
     * Creates a permit that is not held.
     *
     * @param clock source of monotonic time
     */
    public TrialPermit(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Acquires the permit.
     *
     * @param fingerprint the suspect
     * @param maxHoldNanos time after which the permit expires if it is not released
     * @return false when another trial holds the permit
     */
    public boolean tryAcquire(Fingerprint fingerprint, long maxHoldNanos) {
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            if (holder.isPresent() && nowNanos < expiresAtNanos) {
                return false;
            }
            holder = Optional.of(fingerprint);
            expiresAtNanos = nowNanos + maxHoldNanos;
            return true;
        });
    }

    /**
     * Releases the permit.
     *
     * @param fingerprint the suspect whose trial ended; ignored if it does not hold the permit
     */
    public void release(Fingerprint fingerprint) {
        lock.run(() -> holder = holder.filter(current -> !current.equals(fingerprint)));
    }
}
