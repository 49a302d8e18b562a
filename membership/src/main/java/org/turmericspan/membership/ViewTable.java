package org.turmericspan.membership;

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
     * Returns when the platform or a peer last confirmed the view.
     *
     * @return monotonic time
     */
    public long confirmedNanos() {
        return confirmedNanos;
    }

    /** Notes that the platform or a peer still holds the accepted view to be the newest. */
    public void confirm() {
        confirmedNanos = clock.nowNanos();
    }

    /**
     * Offers a view. It is accepted only when its revision is higher than the accepted one's.
     *
     * @param offered a view
     * @return true when it was accepted
     */
    public boolean offer(FleetView offered) {
        boolean accepted = lock.compute(() -> replace(offered));
        if (accepted) {
            listeners.forEach(listener -> listener.accept(offered));
        }
        return accepted;
    }

    /**
     * Adds a listener that is told of each accepted view, outside any lock.
     *
     * @param listener told on the thread that offered
     */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    private boolean replace(FleetView offered) {
        if (offered.revision() < current.revision()) {
            return false;
        }
        confirmedNanos = clock.nowNanos();
        if (offered.revision() == current.revision()) {
            return false;
        }
        current = offered;
        return true;
    }
}
