package org.turmericspan.routing;

import java.util.List;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** An event that the slot engine handles, such as a slot request or the return of a slot. */
public sealed interface SlotEvent {
    /**
     * The configuration or the view changed.
     *
     * @param ownershipMap the new ownership map
     */
    record OwnershipChanged(OwnershipMap ownershipMap) implements SlotEvent {}

    /**
     * A node requests a slot.
     *
     * @param requestId identifies the request
     * @param slotRequest what it asks for
     */
    record SlotRequested(SlotRequestId requestId, SlotRequest slotRequest) implements SlotEvent {}

    /**
     * A slot request was cancelled.
     *
     * @param requestId identifies the request
     */
    record RequestCancelled(SlotRequestId requestId) implements SlotEvent {}

    /**
     * A borrowed slot is available for a request that is queued here.
     *
     * @param service service of the slot
     * @param preferredId request it was borrowed for
     * @param deadlineNanos monotonic time at which the lease ends
     */
    record BorrowedSlotAvailable(ServiceId service, SlotRequestId preferredId, long deadlineNanos)
            implements SlotEvent {}

    /**
     * A slot was returned.
     *
     * @param lease identifier of the lease
     * @param slotReturn how the attempt ended
     */
    record Returned(LeaseId lease, SlotReturn slotReturn) implements SlotEvent {}

    /**
     * An upstream responded to a probe.
     *
     * @param upstream the upstream
     * @param signals what it reported about itself
     */
    record ProbeResultReceived(UpstreamId upstream, UpstreamSignals signals) implements SlotEvent {}

    /**
     * The previous owner handed an upstream over.
     *
     * @param from VM of the previous owner
     * @param handover the state of the upstream
     */
    record HandedOver(VmId from, PeerMessage.Handover handover) implements SlotEvent {}

    /**
     * Another node reported its incarnation.
     *
     * @param peer its VM
     * @param incarnation its current incarnation
     */
    record PeerIncarnationSeen(VmId peer, Incarnation incarnation) implements SlotEvent {}

    /**
     * Another node queries the leases that may still be in use on upstreams that it is about to own.
     *
     * @param from VM of the node
     * @param requesterIncarnation incarnation of the node
     * @param upstreams the upstreams
     */
    record LeaseQueryReceived(VmId from, Incarnation requesterIncarnation, List<UpstreamId> upstreams)
            implements SlotEvent {}

    /**
     * Another node replied to this node's lease query.
     *
     * @param from VM of the node
     * @param queried the upstreams in the query
     * @param held those on which a lease may still be in use
     */
    record LeaseReportReceived(VmId from, List<UpstreamId> queried, List<UpstreamId> held) implements SlotEvent {}

    /**
     * A periodic tick.
     *
     * @param viewConfirmedNanos monotonic time at which the view was last confirmed
     */
    record Ticked(long viewConfirmedNanos) implements SlotEvent {}
}
