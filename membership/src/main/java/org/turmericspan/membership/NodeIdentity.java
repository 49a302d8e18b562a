package org.turmericspan.membership;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/**
 * The VM and process by which other nodes know this node.
 *
 * @param vm VM on which the node runs
 * @param availabilityZone zone of the VM
 * @param incarnation number drawn at each start of the process
 */
public record NodeIdentity(VmId vm, AvailabilityZoneId availabilityZone, Incarnation incarnation) {}
