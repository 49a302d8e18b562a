package org.turmericspan.calls;

import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Lease of a slot: the right to run one request on one upstream. It is released exactly once. */
public interface SlotLease {
    /**
     * Returns the identifier of the lease.
     *
     * @return identifier that is unique across all owners
     */
    LeaseId id();

    /**
     * Returns the upstream.
     *
     * @return name of the upstream
     */
    UpstreamId upstream();

    /**
     * Returns the address at which the upstream listens.
     *
     * @return address of the upstream
     */
    SocketAddress address();

    /**
     * Returns whether the lease is still valid. This is checked immediately before the first byte is written.
     *
     * @return false after a process pause, a recall or the expiry of the lease
     */
    boolean isValid();

    /**
     * Releases the slot. Later calls have no effect.
     *
     * @param slotReturn what the attempt revealed about the upstream
     */
    void release(SlotReturn slotReturn);
}
