package org.turmericspan.balancing;

import java.util.Set;
import java.util.function.Supplier;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.RankedLock;

/** What the upstream table knows of the room of each service: its slots, and when and where more may appear. */
public final class RoomOutlook {
    private final RankedLock lock;
    private final UpstreamIndex index;
    private final Supplier<Set<AvailabilityZoneId>> evacuatedZones;
    private final MonotonicClock clock;
    private volatile RoomListener listener = RoomListener.NONE;

    /** Creates a view of a table's index, which the lock guards; the zones are read under it too. */
    RoomOutlook(
            RankedLock lock,
            UpstreamIndex index,
            Supplier<Set<AvailabilityZoneId>> evacuatedZones,
            MonotonicClock clock) {
        this.lock = lock;
        this.index = index;
        this.evacuatedZones = evacuatedZones;
        this.clock = clock;
    }

    /**
     * Sets the listener to changes after which an upstream may have room.
     *
     * @param newListener called without the table's lock
     */
    public void setListener(RoomListener newListener) {
        listener = newListener;
    }

    /** Reports a change to the listener; must be called without the lock. Ignores an unknown upstream. */
    void report(TrackedUpstream upstream) {
        if (upstream != null) {
            report(upstream.registration().service());
        }
    }

    void report(ServiceId service) {
        listener.roomMayHaveAppeared(service);
    }

    /**
     * Returns when an upstream of a service is next known to end a backoff or a pause, or to take one more request
     * after a pause.
     *
     * @param service the service
     * @return nanoseconds from now; {@link Long#MAX_VALUE} if none is known
     */
    public long untilNextReturnNanos(ServiceId service) {
        long now = clock.nowNanos();
        return lock.compute(() -> UpstreamSelector.untilNextReturnNanos(index.of(service), now));
    }

    /**
     * Returns the slots of a service.
     *
     * @param service the service
     * @return slots at this moment, as this node knows them
     */
    public ServiceSlots slots(ServiceId service) {
        long now = clock.nowNanos();
        return lock.compute(() -> UpstreamSelector.slots(index.of(service), evacuatedZones.get(), now));
    }
}
