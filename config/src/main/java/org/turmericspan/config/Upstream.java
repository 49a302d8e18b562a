package org.turmericspan.config;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * A server that runs requests of one service.
 *
 * @param id name of the upstream
 * @param service service it belongs to
 * @param availabilityZone where it runs
 * @param vm VM it runs on, as the platform lists it
 * @param address where it listens
 */
public record Upstream(
        UpstreamId id, ServiceId service, AvailabilityZoneId availabilityZone, VmId vm, SocketAddress address) {}
