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
 * @param service service that the upstream belongs to
 * @param availabilityZone availability zone in which it runs
 * @param vm VM on which it runs, as the platform lists it
 * @param address address on which it listens
 */
public record Upstream(
        UpstreamId id, ServiceId service, AvailabilityZoneId availabilityZone, VmId vm, SocketAddress address) {}
