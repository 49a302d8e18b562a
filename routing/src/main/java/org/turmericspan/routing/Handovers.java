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

/** Handovers that came before the view that explains them, and leases that run on after one was given. */
final class Handovers {
    private static final Duration KEPT = Duration.ofSeconds(30);

    private final VmId self;
    private final Map<UpstreamId, Received> received = new HashMap<>();
    private final Map<LeaseId, Given> given = new HashMap<>();

    Handovers(VmId self) {
        this.self = self;
    }

    void received(PeerMessage.Handover handover, long nowNanos) {
        received.put(handover.upstream(), new Received(handover, nowNanos));
    }

    Optional<Received> take(UpstreamId upstream, long nowNanos) {
        return Optional.ofNullable(received.remove(upstream)).filter(one -> nowNanos - one.atNanos() < KEPT.toNanos());
    }

    PeerMessage.Handover give(UpstreamSlots slots, List<Lease> running, VmId next, long nowNanos) {
        UpstreamId upstream = slots.upstream().id();
        running.forEach(lease -> given.put(lease.id(), new Given(upstream, next, lease.deadlineNanos())));
        return new PeerMessage.Handover(
                upstream,
                slots.isPlain(),
                slots.allowance(),
                slots.incarnation(),
                running.stream()
                        .map(lease -> new PeerMessage.RunningLease(
                                lease.id(),
                                lease.holder(),
                                Duration.ofNanos(Math.max(0, lease.deadlineNanos() - nowNanos))))
                        .toList());
    }

    /** Returns the keeper to which the end of a lease is passed on, once. */
    Optional<VmId> forward(LeaseId lease) {
        return Optional.ofNullable(given.remove(lease)).map(Given::next).filter(next -> !next.equals(self));
    }

    boolean mayRun(UpstreamId upstream, long nowNanos) {
        return given.values().stream()
                .anyMatch(one -> one.upstream().equals(upstream) && nowNanos < one.deadlineNanos());
    }

    void expire(long nowNanos) {
        given.values().removeIf(one -> nowNanos >= one.deadlineNanos());
        received.values().removeIf(one -> nowNanos - one.atNanos() >= KEPT.toNanos());
    }

    /** A handover and when it came. */
    record Received(PeerMessage.Handover handover, long atNanos) {
        List<Lease> leases(long nowNanos, long life) {
            return handover.leases().stream()
                    .map(lease -> new Lease(
                            lease.lease(),
                            handover.upstream(),
                            lease.holder(),
                            nowNanos,
                            atNanos + lease.remaining().toNanos(),
                            life))
                    .toList();
        }

        PeerMessage.Handover remaining(long nowNanos) {
            Duration passed = Duration.ofNanos(nowNanos - atNanos);
            return new PeerMessage.Handover(
                    handover.upstream(),
                    handover.warm(),
                    handover.allowance(),
                    handover.upstreamIncarnation(),
                    handover.leases().stream()
                            .map(lease -> new PeerMessage.RunningLease(
                                    lease.lease(),
                                    lease.holder(),
                                    lease.remaining().minus(passed)))
                            .filter(lease -> !lease.remaining().isNegative())
                            .toList());
        }
    }

    private record Given(UpstreamId upstream, VmId next, long deadlineNanos) {}
}
