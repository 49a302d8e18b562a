package org.turmericspan.membership;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** The accepted view of VMs. It only ever moves to a higher revision. */
public final class ViewTable {
    private final RankedLock lock = new RankedLock(LockRank.VIEW);
    private final MonotonicClock clock;
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetView current = FleetView.EMPTY;
    private volatile long confirmedNanos;

    /**
     * Creates an empty table.
     *
     * @param clock tells when a view was confirmed
     */
    public ViewTable(MonotonicClock clock) {
        this.clock = clock;
        this.confirmedNanos = clock.nowNanos();
    }

    /**
     * Returns the accepted view.
     *
     * @return the highest view accepted so far
     */
    public FleetView current() {
        return current;
    }

    /**
     * Returns when the accepted view was last known to be the newest: the platform said so to this node or to one that
     * told it, or every listed node held it.
     *
     * @return monotonic time
     */
    public long confirmedNanos() {
        return confirmedNanos;
    }

    /**
     * Notes that the accepted view was the newest at some time.
     *
     * @param atNanos monotonic time; an earlier one than known has no effect
     */
    public void confirm(long atNanos) {
        lock.run(() -> confirmedNanos = Math.max(confirmedNanos, atNanos));
    }

    /**
     * Offers a view. It is accepted only when its revision is higher than the accepted one's; an equal one confirms.
     *
     * @param offered a view
     * @param age time since the platform confirmed the offered view
     * @return true when it was accepted
     */
    public boolean offer(FleetView offered, Duration age) {
        boolean accepted = lock.compute(() -> replace(offered, clock.nowNanos() - age.toNanos()));
        if (accepted) {
            listeners.forEach(listener -> listener.accept(offered));
        }
        return accepted;
    }

    /**
     * Offers a view that the platform holds now.
     *
     * @param offered a view
     * @return true when it was accepted
     */
    public boolean offer(FleetView offered) {
        return offer(offered, Duration.ZERO);
    }

    /**
     * Adds a listener that is told of each accepted view, outside any lock.
     *
     * @param listener told on the thread that offered
     */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    private boolean replace(FleetView offered, long atNanos) {
        if (offered.revision() < current.revision()) {
            return false;
        }
        confirmedNanos = Math.max(confirmedNanos, atNanos);
        if (offered.revision() == current.revision()) {
            return false;
        }
        current = offered;
        return true;
    }
}
