package org.turmericspan.routing;

import java.util.List;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** What a keeper decided to do. */
public sealed interface SlotAction {
    /**
     * Grants a slot.
     *
     * @param key wish that is met
     * @param slot the slot
     */
    record Grant(WishKey key, GrantedSlot slot) implements SlotAction {}

    /**
     * Denies a wish.
     *
     * @param key the wish
     * @param code why
     */
    record Deny(WishKey key, ResultCode code) implements SlotAction {}

    /**
     * Lets a wish of this node wait; a slot may be borrowed for it.
     *
     * @param key the wish
     * @param slotRequest what is wished for
     */
    record Park(WishKey key, SlotRequest slotRequest) implements SlotAction {}

    /**
     * Gives an offered slot to a wish that waited here.
     *
     * @param key the wish
     */
    record Match(WishKey key) implements SlotAction {}

    /**
     * Calls a lease back: no request may start under it any more.
     *
     * @param holder VM of the node that holds it
     * @param lease identifier of the lease
     */
    record Recall(VmId holder, LeaseId lease) implements SlotAction {}

    /**
     * Hands an upstream over.
     *
     * @param to VM of the next keeper
     * @param handover what this one knows
     */
    record HandOver(VmId to, PeerMessage.Handover handover) implements SlotAction {}

    /**
     * Passes the return of a lease on to the next keeper.
     *
     * @param to VM of the next keeper
     * @param lease identifier of the lease
     * @param slotReturn what the attempt showed
     */
    record Forward(VmId to, LeaseId lease, SlotReturn slotReturn) implements SlotAction {}

    /**
     * Asks another node whether leases may still run.
     *
     * @param to VM of the node
     * @param upstreams the upstreams
     */
    record Query(VmId to, List<UpstreamId> upstreams) implements SlotAction {}

    /**
     * Answers a query.
     *
     * @param upstreams those on which a lease may still run
     */
    record Held(List<UpstreamId> upstreams) implements SlotAction {}
}
