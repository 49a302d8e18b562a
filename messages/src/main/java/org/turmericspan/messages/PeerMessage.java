package org.turmericspan.messages;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * A message between two nodes. Monotonic clocks of two nodes have nothing in common, so every time in a message is a
 * span; a {@code deadlineNanos} inside a nested record holds the span that remains.
 */
public sealed interface PeerMessage {
    /** Answer that says no more than that the message was handled. */
    record Done() implements PeerMessage {}

    /**
     * Answer made up by the sender's own link when the peer gave none in time.
     *
     * @param sent whether the message may have reached the peer
     */
    record Unreachable(boolean sent) implements PeerMessage {}

    /**
     * State that every node sends to its peers at short intervals, and answers with.
     *
     * @param incarnation life of the sender
     * @param configurationNumber number of the configuration in force at the sender
     * @param configurationDigest digest of the configuration in force at the sender
     * @param viewRevision revision of the sender's view
     * @param viewAge time since the platform confirmed that view, to the sender or to one that told it
     * @param leaving whether the sender is about to stop
     * @param idleSlots slots idle at the sender, per service it keeps upstreams of
     */
    record Heartbeat(
            Incarnation incarnation,
            long configurationNumber,
            String configurationDigest,
            long viewRevision,
            Duration viewAge,
            boolean leaving,
            List<IdleSlots> idleSlots)
            implements PeerMessage {
        /**
         * Leaves out what other regions have no use for.
         *
         * @return a copy without idle slots
         */
        public Heartbeat withoutIdleSlots() {
            return new Heartbeat(
                    incarnation, configurationNumber, configurationDigest, viewRevision, viewAge, leaving, List.of());
        }
    }

    /**
     * Slots that are idle at a keeper.
     *
     * @param service service of the upstreams
     * @param idle number of slots that could be granted now
     * @param waiting number of wishes that wait there
     */
    record IdleSlots(ServiceId service, int idle, int waiting) {}

    /** Asks for the configuration in force. */
    record FetchConfiguration() implements PeerMessage {}

    /**
     * Answer to {@link FetchConfiguration}.
     *
     * @param document the document, or empty when none is in force
     */
    record ConfigurationDocument(Optional<String> document) implements PeerMessage {}

    /** Asks for the accepted list of VMs. */
    record FetchView() implements PeerMessage {}

    /**
     * Answer to {@link FetchView}.
     *
     * @param revision revision of the list; 0 when none was accepted
     * @param text the list as the platform holds it, or empty when none was accepted
     */
    record ViewDocument(long revision, Optional<String> text) implements PeerMessage {}

    /**
     * Asks a keeper for a slot.
     *
     * @param request what is wished for
     * @param requestNumber number by which the borrower can withdraw the wish
     */
    record BorrowSlot(SlotRequest request, long requestNumber) implements PeerMessage {}

    /**
     * Withdraws a wish that was met elsewhere.
     *
     * @param requestNumber number of the wish
     */
    record CancelSlotRequest(long requestNumber) implements PeerMessage {}

    /**
     * Answer to {@link BorrowSlot} with a lent slot.
     *
     * @param lease identifier of the lease
     * @param upstream upstream the slot belongs to
     * @param address where the upstream listens
     * @param remaining how long the lease holds
     */
    record SlotLent(LeaseId lease, UpstreamId upstream, SocketAddress address, Duration remaining)
            implements PeerMessage {}

    /**
     * Answer to {@link BorrowSlot} without a slot.
     *
     * @param code why
     */
    record SlotDenied(ResultCode code) implements PeerMessage {}

    /**
     * Gives a lent slot back.
     *
     * @param lease identifier of the lease
     * @param slotReturn what the attempt showed of the upstream
     */
    record ReturnSlot(LeaseId lease, SlotReturn slotReturn) implements PeerMessage {}

    /**
     * Calls a lent slot back: no request may start under it any more.
     *
     * @param lease identifier of the lease
     */
    record RecallSlot(LeaseId lease) implements PeerMessage {}

    /**
     * Hands an upstream over to its next keeper.
     *
     * @param upstream the upstream
     * @param warm whether it was warm
     * @param allowance requests it was allowed at a time
     * @param upstreamIncarnation the life it said it was in
     * @param leases leases that still run
     */
    record Handover(
            UpstreamId upstream,
            boolean warm,
            int allowance,
            Optional<String> upstreamIncarnation,
            List<RunningLease> leases)
            implements PeerMessage {}

    /**
     * A lease that still runs when its upstream is handed over.
     *
     * @param lease identifier of the lease
     * @param holder VM of the node that holds it
     * @param remaining how long it holds at most
     */
    record RunningLease(LeaseId lease, VmId holder, Duration remaining) {}

    /**
     * Asks whether a node holds or has granted leases on upstreams.
     *
     * @param requesterIncarnation life of the sender, by which the other node tells a restart
     * @param upstreams the upstreams
     */
    record QueryLeases(Incarnation requesterIncarnation, List<UpstreamId> upstreams) implements PeerMessage {}

    /**
     * Answer to {@link QueryLeases}.
     *
     * @param held upstreams on which a lease may still run
     */
    record LeasesHeld(List<UpstreamId> held) implements PeerMessage {}

    /**
     * Relays a call to the node that owns its run token.
     *
     * @param request the call
     */
    record RelayCall(CallRequest request) implements PeerMessage {}

    /**
     * Answer to {@link RelayCall}.
     *
     * @param result the result
     */
    record RelayResult(CallResult result) implements PeerMessage {}

    /**
     * Shares requests suspected of crashing upstreams.
     *
     * @param suspects the suspects
     */
    record ShareSuspects(List<Suspect> suspects) implements PeerMessage {}

    /**
     * One suspected kind of request.
     *
     * @param fingerprint digest of service, method, path and body
     * @param crashedUpstreams upstreams that died while they ran it; empty when it is cleared
     * @param crashedInIsolation whether an upstream died that ran it alone
     * @param remaining how long the suspicion lasts
     */
    record Suspect(
            long fingerprint, List<UpstreamId> crashedUpstreams, boolean crashedInIsolation, Duration remaining) {}

    /**
     * Asks the node that keeps the right for the right to run a suspected request alone.
     *
     * @param fingerprint digest of the request
     * @param longest how long the run may take
     */
    record BeginTrial(long fingerprint, Duration longest) implements PeerMessage {}

    /**
     * Answer to {@link BeginTrial}.
     *
     * @param granted false when another suspect runs
     */
    record TrialDecision(boolean granted) implements PeerMessage {}

    /**
     * Gives the right of {@link BeginTrial} back.
     *
     * @param fingerprint digest of the request
     */
    record EndTrial(long fingerprint) implements PeerMessage {}
}
