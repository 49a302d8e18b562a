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
 * Message between two nodes. The monotonic clocks of two nodes are unrelated, so every time in a message is a duration;
 * a {@code deadlineNanos} inside a nested record holds the remaining time in nanoseconds.
 */
public sealed interface PeerMessage {
    /** Reply without content: the message was handled. */
    record Done() implements PeerMessage {}

    /**
     * Reply that the sender's own link creates when the peer did not reply in time.
     *
     * @param sent whether the message may have reached the peer
     */
    record Unreachable(boolean sent) implements PeerMessage {}

    /**
     * State of a node, which it sends to its peers at short intervals and also sends as the reply.
     *
     * @param incarnation incarnation of the sender
     * @param configurationNumber number of the configuration that is active at the sender
     * @param configurationDigest digest of the configuration that is active at the sender, in hexadecimal
     * @param viewRevision revision of the sender's view
     * @param viewAge time since the platform confirmed that view, to the sender or to a node it was received from
     * @param leaving whether the sender is about to stop
     * @param idleSlots idle slots at the sender, for each service of which it owns upstreams
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
         * Returns the same state without what is irrelevant in other regions.
         *
         * @return a copy without idle slots
         */
        public Heartbeat withoutIdleSlots() {
            return new Heartbeat(
                    incarnation, configurationNumber, configurationDigest, viewRevision, viewAge, leaving, List.of());
        }
    }

    /**
     * Idle slots of a service at one owner.
     *
     * @param service service of the upstreams
     * @param idle number of slots that could be granted now
     * @param waiting number of slot requests that are queued there
     */
    record IdleSlots(ServiceId service, int idle, int waiting) {}

    /** Requests the active configuration. */
    record FetchConfiguration() implements PeerMessage {}

    /**
     * Reply to {@link FetchConfiguration}.
     *
     * @param document the document, or empty when none is active
     */
    record ConfigurationDocument(Optional<String> document) implements PeerMessage {}

    /** Requests the accepted list of VMs. */
    record FetchView() implements PeerMessage {}

    /**
     * Reply to {@link FetchView}.
     *
     * @param revision revision of the list; 0 when none was accepted
     * @param text the list as the platform holds it, or empty when none was accepted
     */
    record ViewDocument(long revision, Optional<String> text) implements PeerMessage {}

    /**
     * Requests a slot from an owner.
     *
     * @param request the slot request
     * @param requestNumber number by which the borrower can cancel the request
     */
    record BorrowSlot(SlotRequest request, long requestNumber) implements PeerMessage {}

    /**
     * Cancels a slot request that was granted elsewhere. It is called {@code WithdrawWish} on the wire.
     *
     * @param requestNumber number of the slot request
     */
    record CancelSlotRequest(long requestNumber) implements PeerMessage {}

    /**
     * Reply to {@link BorrowSlot} that lends a slot.
     *
     * @param lease identifier of the lease
     * @param upstream upstream the slot belongs to
     * @param address address at which the upstream listens
     * @param remaining time until the lease expires
     */
    record SlotLent(LeaseId lease, UpstreamId upstream, SocketAddress address, Duration remaining)
            implements PeerMessage {}

    /**
     * Reply to {@link BorrowSlot} that denies the request.
     *
     * @param code reason
     */
    record SlotDenied(ResultCode code) implements PeerMessage {}

    /**
     * Returns a lent slot.
     *
     * @param lease identifier of the lease
     * @param slotReturn what the attempt revealed about the upstream
     */
    record ReturnSlot(LeaseId lease, SlotReturn slotReturn) implements PeerMessage {}

    /**
     * Recalls a lent slot: no further request may start under it.
     *
     * @param lease identifier of the lease
     */
    record RecallSlot(LeaseId lease) implements PeerMessage {}

    /**
     * Hands an upstream over to its next owner.
     *
     * @param upstream the upstream
     * @param warm whether the upstream was warm
     * @param allowance concurrency limit that the upstream has reached during slow start
     * @param upstreamIncarnation incarnation that the upstream reported
     * @param leases leases that are not released yet
     */
    record Handover(
            UpstreamId upstream,
            boolean warm,
            int allowance,
            Optional<String> upstreamIncarnation,
            List<RunningLease> leases)
            implements PeerMessage {}

    /**
     * Lease that is not released yet when its upstream is handed over.
     *
     * @param lease identifier of the lease
     * @param holder VM of the node that holds it
     * @param remaining longest time until the lease expires
     */
    record RunningLease(LeaseId lease, VmId holder, Duration remaining) {}

    /**
     * Queries whether a node holds or has granted leases on upstreams.
     *
     * @param requesterIncarnation incarnation of the sender, by which the receiver detects a restart
     * @param upstreams the upstreams
     */
    record QueryLeases(Incarnation requesterIncarnation, List<UpstreamId> upstreams) implements PeerMessage {}

    /**
     * Reply to {@link QueryLeases}.
     *
     * @param held upstreams on which a lease may still be in use
     */
    record LeasesHeld(List<UpstreamId> held) implements PeerMessage {}

    /**
     * Relays a call to the node that owns its run token.
     *
     * @param request the call
     */
    record RelayCall(CallRequest request) implements PeerMessage {}

    /**
     * Reply to {@link RelayCall}.
     *
     * @param result result of the call
     */
    record RelayResult(CallResult result) implements PeerMessage {}

    /**
     * Shares the requests that are suspected of crashing upstreams.
     *
     * @param suspects the suspects
     */
    record ShareSuspects(List<Suspect> suspects) implements PeerMessage {}

    /**
     * Request fingerprint that is suspected of crashing upstreams.
     *
     * @param fingerprint digest of service, method, path and body
     * @param crashedUpstreams upstreams that crashed while they ran the request; empty when it is no longer suspected
     * @param crashedInIsolation whether an upstream crashed while it ran no other request
     * @param remaining time until the suspicion expires
     */
    record Suspect(
            long fingerprint, List<UpstreamId> crashedUpstreams, boolean crashedInIsolation, Duration remaining) {}

    /**
     * Requests the trial permit, under which a suspected request runs in isolation, from the node that grants it.
     *
     * @param fingerprint digest of the request
     * @param longest longest time that the trial may take
     */
    record BeginTrial(long fingerprint, Duration longest) implements PeerMessage {}

    /**
     * Reply to {@link BeginTrial}.
     *
     * @param granted whether the permit is granted; false while another trial runs
     */
    record TrialDecision(boolean granted) implements PeerMessage {}

    /**
     * Returns the permit of {@link BeginTrial}.
     *
     * @param fingerprint digest of the request
     */
    record EndTrial(long fingerprint) implements PeerMessage {}
}
