package org.turmericspan.membership;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/**
 * Who this node is.
 *
 * @param vm VM it runs on
 * @param availabilityZone where it runs
 * @param incarnation this life of the process
 */
public record NodeIdentity(VmId vm, AvailabilityZoneId availabilityZone, Incarnation incarnation) {}
