package org.turmericspan.config;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;

/**
 * An availability zone, and whether its upstreams and entry VMs may receive new requests.
 *
 * @param id name of the availability zone
 * @param region region that the availability zone belongs to
 * @param inService false when operators have taken it out of service
 */
public record AvailabilityZone(AvailabilityZoneId id, RegionId region, boolean inService) {}
