package org.turmericspan.membership;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Holds the accepted view of VMs. Only a view with a higher revision replaces it. */
public final class ViewTable {
    private final RankedLock lock = new RankedLock(LockRank.VIEW);
    private final MonotonicClock clock;
    private final List<Consumer<FleetView>> listeners = new CopyOnWriteArrayList<>();
    private volatile FleetView current = FleetView.EMPTY;
    private volatile long confirmedNanos;

    /**
     * Creates an empty table.
     *
     * @param clock source of the confirmation times
     */
    public ViewTable(MonotonicClock clock) {
        this.clock = clock;
        this.confirmedNanos = clock.nowNanos();
    }

    /**
     * Returns the accepted view.
     *
     * @return the view with the highest revision accepted so far
     */
    public FleetView current() {
        return current;
    }

    /**
     * Returns when the accepted view was last confirmed to be current: by the platform, directly or through another
     * node, or because every listed node held it.
     *
     * @return monotonic time
     */
    public long confirmedNanos() {
        return confirmedNanos;
    }

    /**
     * Confirms that the accepted view was current at the given time.
     *
     * @param newConfirmedNanos monotonic time at which the view was current; no effect when it is earlier than the last
     *     confirmation
     */
    public void confirm(long newConfirmedNanos) {
        lock.run(() -> confirmedNanos = Math.max(confirmedNanos, newConfirmedNanos));
    }

    /**
     * Offers a view. It is accepted only when its revision is higher than that of the accepted view. An equal view
     * confirms the accepted one; another view of its revision, which a restored platform may publish, does not.
     *
     * @param offered a view of any revision
     * @param age time since the offered view was confirmed to be current
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
     * Offers a view that the platform publishes now.
     *
     * @param offered a view
     * @return true when it was accepted
     */
    public boolean offer(FleetView offered) {
        return offer(offered, Duration.ZERO);
    }

    /**
     * Adds a listener that receives each accepted view.
     *
     * @param listener called outside any lock, on the thread that offered the view
     */
    public void addListener(Consumer<FleetView> listener) {
        listeners.add(listener);
    }

    private boolean replace(FleetView offered, long newConfirmedNanos) {
        boolean accepted = offered.revision() > current.revision();
        if (accepted) {
            current = offered;
        }
        if (offered.equals(current)) {
            confirmedNanos = Math.max(confirmedNanos, newConfirmedNanos);
        }
        return accepted;
    }
}
