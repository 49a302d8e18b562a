package org.turmericspan.balancing;

/** Tells whether this node owns an upstream: owners probe it and alone send to it while it is cold. */
@FunctionalInterface
public interface Ownership {
    /**
     * Tells whether this node owns an upstream.
     *
     * @param registration the upstream
     * @return true on the owner; during a split more than one node may say so
     */
    boolean owns(Registration registration);
}
