package org.turmericspan.balancing;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * What an upstream has published of itself.
 *
 * @param id identifier of this life of the upstream, unless it restarts under the same one
 * @param service service it belongs to
 * @param address where it listens
 * @param availabilityZone where it runs
 * @param slots requests it runs at once
 * @param draining whether it is leaving
 * @param startedMillis Unix time of its start; 0 when it does not say
 * @param coldUntilNanos monotonic time until which it said it is cold
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
     * Compares everything but the warm-up time, which runs down by itself.
     *
     * @param other another registration
     * @return whether they say the same
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
