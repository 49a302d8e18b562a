package org.turmericspan.routing;

/**
 * Counts over all owned upstreams.
 *
 * @param own leases that this node holds on its own upstreams
 * @param lent leases that other nodes hold on them
 * @param waiting requests in the queues of this node, its own and those of other nodes
 * @param coldTransitions number of times an upstream was marked cold
 * @param isSuspended whether nothing is granted until the view is confirmed after a process pause
 */
public record SlotCounts(int own, int lent, int waiting, long coldTransitions, boolean isSuspended) {}
