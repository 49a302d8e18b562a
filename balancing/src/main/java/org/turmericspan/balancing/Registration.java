package org.turmericspan.balancing;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * Registration that an upstream has published.
 *
 * @param id identifier of the upstream, normally a new one after each start
 * @param service service it belongs to
 * @param address address at which it listens
 * @param availabilityZone zone in which it runs
 * @param slots requests that it runs concurrently
 * @param draining whether it is shutting down and must get no new requests
 * @param startedMillis Unix time of its start, which shows a restart under the same identifier; 0 when not published
 * @param coldUntilNanos monotonic time at which it becomes warm, as it reported; in the past when it is warm
 */
public record Registration(
        UpstreamId id,
        ServiceId service,
        SocketAddress address,
        AvailabilityZoneId availabilityZone,
        int slots,
        boolean draining,
        long startedMillis,
        long coldUntilNanos) {
    /**
     * Compares everything except the remaining warm-up time, which changes continuously.
     *
     * @param other another registration
     * @return whether everything else is equal
     */
    public boolean equalsIgnoringWarmUp(Registration other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && address.equals(other.address)
                && availabilityZone.equals(other.availabilityZone)
                && slots == other.slots
                && draining == other.draining
                && startedMillis == other.startedMillis;
    }
}
