package org.turmericspan.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/**
 * Handovers received before the view that makes this node the owner, and leases that are still running after this node
 * has handed over their upstream.
 */
final class Handovers {
    /** Time for which a handover is kept for the view that makes this node the owner. */
    private static final Duration PENDING_RETENTION = Duration.ofSeconds(30);

    private final VmId self;
    private final Map<UpstreamId, PendingHandover> pending = new HashMap<>();
    private final Map<LeaseId, TransferredLease> transferred = new HashMap<>();

    Handovers(VmId self) {
        this.self = self;
    }

    void addPending(PeerMessage.Handover handover, long nowNanos) {
        pending.put(handover.upstream(), new PendingHandover(handover, nowNanos));
    }

    Optional<PendingHandover> takePending(UpstreamId upstream, long nowNanos) {
        return Optional.ofNullable(pending.remove(upstream))
                .filter(entry -> nowNanos - entry.receivedNanos() < PENDING_RETENTION.toNanos());
    }

    /**
     * Creates the message that hands an upstream over, and records its running leases, whose returns are forwarded to
     * the new owner.
     */
    PeerMessage.Handover handOver(UpstreamSlots slots, List<Lease> running, VmId newOwner, long nowNanos) {
        UpstreamId upstream = slots.upstream().id();
        running.forEach(
                lease -> transferred.put(lease.id(), new TransferredLease(upstream, newOwner, lease.deadlineNanos())));
        return new PeerMessage.Handover(
                upstream,
                slots.isWarmOrRamping(),
                slots.allowance(),
                slots.incarnation(),
                running.stream()
                        .map(lease -> new PeerMessage.RunningLease(
                                lease.id(),
                                lease.holder(),
                                Duration.ofNanos(Math.max(0, lease.deadlineNanos() - nowNanos))))
                        .toList());
    }

    /** Removes a transferred lease and returns the new owner, to which its return is forwarded. */
    Optional<VmId> takeNewOwner(LeaseId lease) {
        return Optional.ofNullable(transferred.remove(lease))
                .map(TransferredLease::newOwner)
                .filter(newOwner -> !newOwner.equals(self));
    }

    /** Returns whether a request may still run under a lease that this node has handed over. */
    boolean mayHaveRunningRequests(UpstreamId upstream, long nowNanos) {
        return transferred.values().stream()
                .anyMatch(entry -> entry.upstream().equals(upstream) && nowNanos < entry.deadlineNanos());
    }

    void expire(long nowNanos) {
        transferred.values().removeIf(entry -> nowNanos >= entry.deadlineNanos());
        pending.values().removeIf(entry -> nowNanos - entry.receivedNanos() >= PENDING_RETENTION.toNanos());
    }

    /** Handover that waits for the view by which this node becomes the owner. */
    record PendingHandover(PeerMessage.Handover handover, long receivedNanos) {
        List<Lease> leases(long nowNanos, long generation) {
            return handover.leases().stream()
                    .map(runningLease -> new Lease(
                            runningLease.lease(),
                            handover.upstream(),
                            runningLease.holder(),
                            nowNanos,
                            receivedNanos + runningLease.remaining().toNanos(),
                            generation))
                    .toList();
        }

        /** Returns the handover for another owner, with the remaining times of its leases as of now. */
        PeerMessage.Handover withElapsedTime(long nowNanos) {
            Duration elapsed = Duration.ofNanos(nowNanos - receivedNanos);
            return new PeerMessage.Handover(
                    handover.upstream(),
                    handover.warm(),
                    handover.allowance(),
                    handover.upstreamIncarnation(),
                    handover.leases().stream()
                            .map(runningLease -> new PeerMessage.RunningLease(
                                    runningLease.lease(),
                                    runningLease.holder(),
                                    runningLease.remaining().minus(elapsed)))
                            .filter(runningLease -> !runningLease.remaining().isNegative())
                            .toList());
        }
    }

    /** A lease that still ran when this node handed over its upstream. */
    private record TransferredLease(UpstreamId upstream, VmId newOwner, long deadlineNanos) {}
}
