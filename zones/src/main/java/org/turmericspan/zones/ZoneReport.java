package org.turmericspan.zones;

import org.turmericspan.ids.AvailabilityZoneId;

/**
 * Demand and room of a service in a zone, as a node of the zone told them.
 *
 * @param zone the zone
 * @param demandSlots work that the callers of the zone ask for, in slots that it keeps busy
 * @param roomSlots slots of the upstreams of the zone that take requests, fewer for those that are slowed
 * @param atNanos monotonic time at which the node told them
 */
public record ZoneReport(AvailabilityZoneId zone, double demandSlots, double roomSlots, long atNanos) {}
