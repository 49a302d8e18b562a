package org.turmericspan.routing;

import java.util.List;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** An action that the slot engine has decided on and leaves to its caller, which sends messages and replies. */
public sealed interface SlotAction {
    /**
     * Grants a slot.
     *
     * @param requestId request that is granted
     * @param slot the slot
     */
    record Grant(SlotRequestId requestId, GrantedSlot slot) implements SlotAction {}

    /**
     * Denies a slot request.
     *
     * @param requestId the request
     * @param code the reason
     */
    record Deny(SlotRequestId requestId, ResultCode code) implements SlotAction {}

    /**
     * Tries to borrow a slot for a request of this node that is queued here.
     *
     * @param requestId the request
     * @param slotRequest what it asks for
     */
    record TryBorrow(SlotRequestId requestId, SlotRequest slotRequest) implements SlotAction {}

    /**
     * Assigns a borrowed slot to a request that was queued here.
     *
     * @param requestId the request
     */
    record AssignBorrowedSlot(SlotRequestId requestId) implements SlotAction {}

    /**
     * Recalls a lease: no request may start under it any more.
     *
     * @param holder VM of the node that holds it
     * @param lease identifier of the lease
     */
    record Recall(VmId holder, LeaseId lease) implements SlotAction {}

    /**
     * Hands an upstream over to its new owner.
     *
     * @param to VM of the new owner
     * @param handover the state of the upstream as this node knows it
     */
    record HandOver(VmId to, PeerMessage.Handover handover) implements SlotAction {}

    /**
     * Forwards the return of a lease to the new owner.
     *
     * @param to VM of the new owner
     * @param lease identifier of the lease
     * @param slotReturn how the attempt ended
     */
    record ForwardReturn(VmId to, LeaseId lease, SlotReturn slotReturn) implements SlotAction {}

    /**
     * Queries another node for leases that may still be in use.
     *
     * @param to VM of the node
     * @param upstreams the upstreams
     */
    record SendLeaseQuery(VmId to, List<UpstreamId> upstreams) implements SlotAction {}

    /**
     * Replies to a lease query.
     *
     * @param upstreams those on which a lease may still be in use
     */
    record ReportLeases(List<UpstreamId> upstreams) implements SlotAction {}
}
