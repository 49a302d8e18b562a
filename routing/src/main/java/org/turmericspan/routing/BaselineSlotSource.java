package org.turmericspan.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.config.Upstream;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.membership.Vm;

/**
 * Slot source without owners and concurrency limits, for comparison: grants an upstream in service at once. The choice
 * depends only on this node's own state: the loads last reported to it and its own requests in flight.
 */
public final class BaselineSlotSource implements SlotSource {
    private final Supplier<OwnershipMap> ownershipMap;
    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private final UpstreamChoice choice;
    private final Map<UpstreamId, Load> loads = new ConcurrentHashMap<>();
    private final AtomicLong lastSequence = new AtomicLong();

    /**
     * Creates a source.
     *
     * @param ownershipMap supplies the current ownership map
     * @param incarnation incarnation of this process, part of each lease identifier
     * @param clock expires leases at their deadline
     * @param choice chooses among the upstreams
     */
    public BaselineSlotSource(
            Supplier<OwnershipMap> ownershipMap, Incarnation incarnation, MonotonicClock clock, UpstreamChoice choice) {
        this.ownershipMap = ownershipMap;
        this.incarnation = incarnation;
        this.clock = clock;
        this.choice = choice;
    }

    @Override
    public CompletionStage<SlotDecision> acquire(SlotRequest request) {
        OwnershipMap current = ownershipMap.get();
        List<Upstream> candidates = current.upstreamsOf(request.service()).stream()
                .filter(upstream -> !request.excludedUpstreams().contains(upstream.id()))
                .filter(upstream -> !isLeaving(current, upstream))
                .toList();
        SlotDecision decision = choice.choose(
                        candidates, upstream -> load(upstream.id()).total())
                .<SlotDecision>map(upstream -> new SlotDecision.Granted(new CountedLease(upstream, request)))
                .orElseGet(() -> new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty()));
        return CompletableFuture.completedFuture(decision);
    }

    private static boolean isLeaving(OwnershipMap ownershipMap, Upstream upstream) {
        Vm vm = ownershipMap.view().vms().get(upstream.vm());
        return vm != null && vm.leaving();
    }

    private Load load(UpstreamId upstream) {
        return loads.computeIfAbsent(upstream, id -> new Load(new AtomicInteger(), new AtomicInteger()));
    }

    /** Requests of this node in flight on an upstream, and the running requests that the upstream last reported. */
    private record Load(AtomicInteger inFlight, AtomicInteger reported) {
        int total() {
            return inFlight.get() + reported.get();
        }
    }

    private final class CountedLease implements SlotLease {
        private final Upstream upstream;
        private final long deadlineNanos;
        private final LeaseId id = new LeaseId(incarnation, lastSequence.incrementAndGet());
        private final AtomicBoolean released = new AtomicBoolean();

        CountedLease(Upstream upstream, SlotRequest request) {
            this.upstream = upstream;
            this.deadlineNanos = request.deadlineNanos();
            load(upstream.id()).inFlight().incrementAndGet();
        }

        @Override
        public LeaseId id() {
            return id;
        }

        @Override
        public UpstreamId upstream() {
            return upstream.id();
        }

        @Override
        public SocketAddress address() {
            return upstream.address();
        }

        @Override
        public boolean isValid() {
            return !released.get() && clock.nowNanos() < deadlineNanos;
        }

        @Override
        public void release(SlotReturn slotReturn) {
            if (released.compareAndSet(false, true)) {
                Load load = load(upstream.id());
                load.inFlight().decrementAndGet();
                slotReturn.signals().running().ifPresent(load.reported()::set);
            }
        }
    }
}
