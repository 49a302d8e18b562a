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

/** What the other nodes last reported of their idle slots, and whom to ask for one. */
public final class LenderSelector {
    private static final Duration FRESH = Duration.ofSeconds(3);
    private static final int ASKED_WITH_IDLE = 2;
    private static final int ASKED_WITHOUT_IDLE = 3;

    private final VmId self;
    private final Supplier<OwnershipMap> map;
    private final Peers peers;
    private final MonotonicClock clock;
    private final RandomGenerator random;

    /**
     * Creates a board.
     *
     * @param self VM of this node, which is never asked
     * @param map who keeps what
     * @param peers what the other nodes said of themselves
     * @param clock tells how old a report is
     * @param random spreads the wishes over equal nodes
     */
    public LenderSelector(
            VmId self, Supplier<OwnershipMap> map, Peers peers, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.map = map;
        this.peers = peers;
        this.clock = clock;
        this.random = random;
    }

    /**
     * Chooses keepers to ask: one or two that reported idle slots, or else up to three keepers of the service.
     *
     * @param service the service
     * @param onlyIdle whether to ask only those that reported idle slots
     * @return the keepers, best first
     */
    public List<VmId> lenders(ServiceId service, boolean onlyIdle) {
        Set<VmId> keepers = keepersOf(service);
        List<Offer> offers = new ArrayList<>();
        long nowNanos = clock.nowNanos();
        for (VmId keeper : keepers) {
            offers.add(offer(keeper, service, nowNanos));
        }
        shuffle(offers);
        offers.sort(Offer.BEST_FIRST);
        boolean hasIdle = !offers.isEmpty() && offers.get(0).idle() > 0;
        if (onlyIdle || hasIdle) {
            return offers.stream()
                    .filter(offer -> offer.idle() > 0)
                    .limit(ASKED_WITH_IDLE)
                    .map(Offer::keeper)
                    .toList();
        }
        return offers.stream().limit(ASKED_WITHOUT_IDLE).map(Offer::keeper).toList();
    }

    private Set<VmId> keepersOf(ServiceId service) {
        OwnershipMap current = map.get();
        Set<VmId> keepers = new TreeSet<>();
        current.upstreamsOf(service).forEach(upstream -> {
            VmId keeper = current.owners().get(upstream.id());
            if (keeper != null && !keeper.equals(self) && current.sharesRegion(self, keeper)) {
                keepers.add(keeper);
            }
        });
        return keepers;
    }

    private void shuffle(List<Offer> offers) {
        for (int i = offers.size() - 1; i > 0; i--) {
            Collections.swap(offers, i, random.nextInt(i + 1));
        }
    }

    private Offer offer(VmId keeper, ServiceId service, long nowNanos) {
        Optional<PeerState> report =
                peers.find(keeper).filter(state -> nowNanos - state.lastHeardNanos() <= FRESH.toNanos());
        if (report.isPresent()) {
            for (PeerMessage.IdleSlots slots : report.get().idleSlots()) {
                if (slots.service().equals(service)) {
                    return new Offer(keeper, slots.idle(), slots.waiting());
                }
            }
        }
        return new Offer(keeper, 0, 0);
    }

    private record Offer(VmId keeper, int idle, int waiting) {
        static final Comparator<Offer> BEST_FIRST =
                Comparator.comparingInt(Offer::idle).reversed().thenComparingInt(Offer::waiting);
    }
}
