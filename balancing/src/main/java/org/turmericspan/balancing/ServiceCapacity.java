package org.turmericspan.balancing;

/**
 * Capacity of a service for a request at one moment, to explain why no upstream was selected.
 *
 * @param registered number of registered upstreams of the service
 * @param usable number of those that can take the request now
 * @param utilization share of the slots in use, over the upstreams that take requests; 0 to 1
 */
public record ServiceCapacity(int registered, int usable, double utilization) {}
