package org.turmericspan.zones;

import org.turmericspan.ids.ServiceId;

/**
 * Room of a service in the local zone.
 *
 * @param service the service
 * @param slots slots of the upstreams that take requests, fewer for those that are slowed
 */
public record ServiceRoom(ServiceId service, double slots) {}
