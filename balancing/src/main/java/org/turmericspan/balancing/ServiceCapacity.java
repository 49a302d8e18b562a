package org.turmericspan.balancing;

/**
 * What a service has to offer a request at one moment, to explain why the request found no upstream.
 *
 * @param registered upstreams of the service
 * @param usable upstreams with room for the request
 * @param utilization share of the slots in use, of the upstreams that take requests; 0 to 1
 */
public record ServiceCapacity(int registered, int usable, double utilization) {}
