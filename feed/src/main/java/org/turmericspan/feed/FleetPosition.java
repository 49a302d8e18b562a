package org.turmericspan.feed;

/**
 * Position of this node in the order in which nodes ask the store by themselves. Nodes whose lists of members differ
 * may have the same position, which costs reads and nothing else.
 *
 * @param rank number of nodes that ask earlier
 * @param size number of nodes in the fleet, at least 1
 */
public record FleetPosition(int rank, int size) {}
