package org.turmericspan.routing;

/** State of a kept upstream. */
public enum Phase {
    /** The keeper is new and does not yet know what others still run there; nothing is granted. */
    RESTING,
    /** It has just started or may have; as many requests as a cold upstream bears. */
    COLD,
    /** It gains one slot after each series of successes. */
    RAMPING,
    /** All slots and the extra depth are granted. */
    WARM,
    /** It is about to stop; nothing is granted until a new incarnation. */
    LEAVING,
    /** It or its availability zone is out of service; nothing is granted. */
    OUT;

    /**
     * Tells whether slots may be granted at all.
     *
     * @return true for cold, ramping and warm upstreams
     */
    public boolean isGranting() {
        return this == COLD || this == RAMPING || this == WARM;
    }
}
