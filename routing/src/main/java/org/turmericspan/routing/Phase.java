package org.turmericspan.routing;

/** Warm-up phase of an owned upstream, which limits the slots that may be granted. */
public enum Phase {
    /**
     * Takeover grace period: this node has just become the owner, and other nodes may still hold leases; nothing is
     * granted.
     */
    RESTING,
    /**
     * The upstream has or may have restarted; it gets only the configured number of concurrent requests for a cold
     * upstream.
     */
    COLD,
    /** Slow start: the upstream gains one slot after each configured number of successes. */
    RAMPING,
    /** All slots may be granted, and the configured number of requests beyond them. */
    WARM,
    /**
     * The upstream is about to stop; nothing is granted until it reports a new incarnation or the VM list no longer
     * marks its VM as leaving.
     */
    LEAVING,
    /** The upstream or its availability zone is out of service; nothing is granted. */
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
