package org.turmericspan.routing;

/** State of an owned upstream. */
public enum Phase {
    /**
     * The owner is new and other nodes may still hold leases; nothing is granted during this takeover grace period.
     */
    RESTING,
    /** It has restarted or may have; it is limited to the configured cold requests. */
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
     * Returns whether slots may be granted at all.
     *
     * @return true for cold, ramping and warm upstreams
     */
    public boolean isGranting() {
        return this == COLD || this == RAMPING || this == WARM;
    }
}
