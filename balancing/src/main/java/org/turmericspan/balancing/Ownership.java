package org.turmericspan.balancing;

/**
 * Decides whether this node owns an upstream. The owner probes it, and is the only node that sends to it while it is
 * cold, that is, until its warm-up time after a start has passed.
 */
@FunctionalInterface
public interface Ownership {
    /**
     * Returns whether this node owns an upstream.
     *
     * @param registration the upstream
     * @return true on the owner; during a network partition more than one node may be the owner
     */
    boolean owns(Registration registration);
}
