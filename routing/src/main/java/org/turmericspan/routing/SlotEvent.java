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

/** Something that a keeper's decisions depend on. */
public sealed interface SlotEvent {
    /**
     * The configuration or the view changed.
     *
     * @param map who keeps what now
     */
    record MapChanged(OwnershipMap map) implements SlotEvent {}

    /**
     * A node wishes for a slot.
     *
     * @param key identifies the wish
     * @param slotRequest what is wished for
     */
    record Wished(WishKey key, SlotRequest slotRequest) implements SlotEvent {}

    /**
     * A wish is of no use any more.
     *
     * @param key identifies the wish
     */
    record Withdrawn(WishKey key) implements SlotEvent {}

    /**
     * A borrowed slot is free for a wish that waits here.
     *
     * @param service service of the slot
     * @param preferred wish it was borrowed for
     * @param deadlineNanos monotonic time at which the lease ends
     */
    record Offered(ServiceId service, WishKey preferred, long deadlineNanos) implements SlotEvent {}

    /**
     * A slot was given back.
     *
     * @param lease identifier of the lease
     * @param slotReturn what the attempt showed
     */
    record Returned(LeaseId lease, SlotReturn slotReturn) implements SlotEvent {}

    /**
     * A probe was answered.
     *
     * @param upstream the upstream
     * @param signals what it said of itself
     */
    record Observed(UpstreamId upstream, UpstreamSignals signals) implements SlotEvent {}

    /**
     * The keeper before handed an upstream over.
     *
     * @param from VM of the keeper before
     * @param handover what it knows
     */
    record HandedOver(VmId from, PeerMessage.Handover handover) implements SlotEvent {}

    /**
     * Another node was heard of.
     *
     * @param peer its VM
     * @param incarnation the life it is in
     */
    record PeerSeen(VmId peer, Incarnation incarnation) implements SlotEvent {}

    /**
     * Another node asks whether leases may still run on upstreams that it is to keep.
     *
     * @param from VM of the node
     * @param asker life of the node
     * @param upstreams the upstreams
     */
    record LeasesQueried(VmId from, Incarnation asker, List<UpstreamId> upstreams) implements SlotEvent {}

    /**
     * Another node answered the query of this one.
     *
     * @param from VM of the node
     * @param asked the upstreams asked for
     * @param held those on which a lease may still run
     */
    record LeasesAnswered(VmId from, List<UpstreamId> asked, List<UpstreamId> held) implements SlotEvent {}

    /**
     * Time has passed.
     *
     * @param viewConfirmedNanos monotonic time at which the view was last confirmed
     */
    record Ticked(long viewConfirmedNanos) implements SlotEvent {}
}
