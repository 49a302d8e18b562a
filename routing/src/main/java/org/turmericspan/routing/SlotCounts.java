package org.turmericspan.routing;

/**
 * Counts over all kept upstreams.
 *
 * @param own leases that this node holds on its own upstreams
 * @param lent leases that other nodes hold on them
 * @param waiting wishes that wait here, of this node and of others
 * @param coldTransitions times an upstream was set cold
 * @param isSuspended whether nothing is granted until the view is confirmed after a late wake-up
 */
public record SlotCounts(int own, int lent, int waiting, long coldTransitions, boolean isSuspended) {}
