package org.turmericspan.routing;

import org.turmericspan.errors.ResultCode;

/** Receives the decision on a slot request, once. */
interface SlotReply {
    /** Accepts a slot of an upstream that this node owns. */
    void granted(GrantedSlot slot);

    /** Accepts a lease that another owner lent to this node. */
    void granted(HeldLease lease);

    /** Accepts a denial. */
    void denied(ResultCode code);
}
