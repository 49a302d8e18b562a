package org.turmericspan.upstream;

import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Lease that is always valid. */
record ValidLease(SocketAddress address) implements SlotLease {
    @Override
    public LeaseId id() {
        return new LeaseId(new Incarnation(1), 1);
    }

    @Override
    public UpstreamId upstream() {
        return new UpstreamId("ordering-000");
    }

    @Override
    public boolean isValid() {
        return true;
    }

    @Override
    public void release(SlotReturn slotReturn) {}
}
