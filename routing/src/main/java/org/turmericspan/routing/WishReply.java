package org.turmericspan.routing;

import org.turmericspan.errors.ResultCode;

/** Takes the answer to a wish, once. */
interface WishReply {
    /** Takes a slot of an upstream kept here. */
    void granted(GrantedSlot slot);

    /** Takes a lease that another keeper lent to this node. */
    void granted(HeldLease lease);

    /** Takes a denial. */
    void denied(ResultCode code);
}
