package org.turmericspan.calls;

import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Right to run one request on one upstream now. It is given back exactly once. */
public interface SlotLease {
    /**
     * Returns the identifier of the lease.
     *
     * @return unique over all keepers
     */
    LeaseId id();

    /**
     * Returns the upstream.
     *
     * @return name of the upstream
     */
    UpstreamId upstream();

    /**
     * Returns where the upstream listens.
     *
     * @return its address
     */
    SocketAddress address();

    /**
     * Tells whether the lease still holds. It is asked immediately before the first byte is written.
     *
     * @return false after a late wake-up, a withdrawal or the lease's deadline
     */
    boolean isValid();

    /**
     * Gives the slot back. Later calls have no effect.
     *
     * @param slotReturn what the attempt showed of the upstream
     */
    void release(SlotReturn slotReturn);
}
