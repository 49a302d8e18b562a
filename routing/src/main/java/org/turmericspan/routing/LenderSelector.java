package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.PeerState;
import org.turmericspan.membership.Peers;
import org.turmericspan.messages.PeerMessage;

/** Selects the owners to borrow a slot from, by the idle slots that they last reported. */
public final class LenderSelector {
    /** Age of the last heartbeat up to which the idle slots in it are used. */
    private static final Duration MAX_REPORT_AGE = Duration.ofSeconds(3);

    private static final int MAX_IDLE_LENDERS = 2;
    private static final int MAX_BUSY_LENDERS = 3;

    private final VmId self;
    private final Supplier<OwnershipMap> ownershipMap;
    private final Peers peers;
    private final MonotonicClock clock;
    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param self VM of this node, which is never selected
     * @param ownershipMap supplies the current ownership map
     * @param peers latest reports of the other nodes
     * @param clock measures the age of a report
     * @param random spreads the requests over equal nodes
     */
    public LenderSelector(
            VmId self, Supplier<OwnershipMap> ownershipMap, Peers peers, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.ownershipMap = ownershipMap;
        this.peers = peers;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Selects lenders: up to two owners that reported idle slots, or else up to three owners of the service.
     *
     * @param service the service
     * @param onlyIdle whether to select only owners that reported idle slots
     * @return VMs of the owners, those with the most idle slots first, then those with the fewest queued requests
     */
    public List<VmId> lenders(ServiceId service, boolean onlyIdle) {
        Set<VmId> owners = ownersOf(service);
        List<Lender> lenders = new ArrayList<>();
        long nowNanos = clock.nowNanos();
        for (VmId owner : owners) {
            lenders.add(lender(owner, service, nowNanos));
        }
        shuffle(lenders);
        lenders.sort(Lender.BEST_FIRST);
        boolean hasIdle = !lenders.isEmpty() && lenders.get(0).idle() > 0;
        if (onlyIdle || hasIdle) {
            return lenders.stream()
                    .filter(lender -> lender.idle() > 0)
                    .limit(MAX_IDLE_LENDERS)
                    .map(Lender::vm)
                    .toList();
        }
        return lenders.stream().limit(MAX_BUSY_LENDERS).map(Lender::vm).toList();
    }

    private Set<VmId> ownersOf(ServiceId service) {
        OwnershipMap current = ownershipMap.get();
        Set<VmId> owners = new TreeSet<>();
        current.upstreamsOf(service).forEach(upstream -> {
            VmId owner = current.owners().get(upstream.id());
            if (owner != null && !owner.equals(self) && current.sharesRegion(self, owner)) {
                owners.add(owner);
            }
        });
        return owners;
    }

    private void shuffle(List<Lender> lenders) {
        for (int i = lenders.size() - 1; i > 0; i--) {
            Collections.swap(lenders, i, random.nextInt(i + 1));
        }
    }

    private Lender lender(VmId owner, ServiceId service, long nowNanos) {
        Optional<PeerState> report =
                peers.find(owner).filter(state -> nowNanos - state.lastHeardNanos() <= MAX_REPORT_AGE.toNanos());
        if (report.isPresent()) {
            for (PeerMessage.IdleSlots slots : report.get().idleSlots()) {
                if (slots.service().equals(service)) {
                    return new Lender(owner, slots.idle(), slots.waiting());
                }
            }
        }
        return new Lender(owner, 0, 0);
    }

    private record Lender(VmId vm, int idle, int queued) {
        static final Comparator<Lender> BEST_FIRST =
                Comparator.comparingInt(Lender::idle).reversed().thenComparingInt(Lender::queued);
    }
}
