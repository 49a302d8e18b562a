package org.turmericspan.zones;

import org.turmericspan.ids.RouteId;

/**
 * What a request is like that begins.
 *
 * @param route its route; requests of one route count as one kind
 * @param workNanos usual work of the route; 0 while unknown
 * @param targetNanos time within which it is to be answered
 * @param bodyBytes bytes of its body
 */
public record RequestKind(RouteId route, long workNanos, long targetNanos, long bodyBytes) {}
