package org.turmericspan.config;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;

/**
 * An availability zone and whether its upstreams and entry VMs take new work.
 *
 * @param id name of the availability zone
 * @param region region that holds it
 * @param inService false when operators have taken it out
 */
public record AvailabilityZone(AvailabilityZoneId id, RegionId region, boolean inService) {}
