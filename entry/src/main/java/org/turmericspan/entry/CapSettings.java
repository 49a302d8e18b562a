package org.turmericspan.entry;

import java.util.Set;
import org.turmericspan.caps.CapLimits;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * Settings of the caps on the requests of tenants.
 *
 * @param address address of cap messages; its port is the same on all nodes
 * @param limits what the operators have agreed on
 * @param zones all availability zones of the deployment; empty when the settings do not list them
 * @param isFirstStart whether the whole fleet starts for the first time; setting {@code first-start}
 */
record CapSettings(SocketAddress address, CapLimits limits, Set<AvailabilityZoneId> zones, boolean isFirstStart) {}
