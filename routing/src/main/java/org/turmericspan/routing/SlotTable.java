package org.turmericspan.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.SlotWish;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Slots of the upstreams this node keeps: the one place that knows what runs on them now. */
public final class SlotTable {
    private final RankedLock lock = new RankedLock(LockRank.SLOTS);
    private final Map<UpstreamId, Entry> entries = new HashMap<>();
    private final Incarnation incarnation;
    private final MonotonicClock clock;
    private long nextSequence;

    /**
     * Creates an empty table.
     *
     * @param incarnation this life of the process, which marks the leases
     * @param clock measures how long leases run
     */
    public SlotTable(Incarnation incarnation, MonotonicClock clock) {
        this.incarnation = incarnation;
        this.clock = clock;
    }

    /**
     * Replaces the set of kept upstreams.
     *
     * @param kept upstreams this node keeps, in service
     * @param services their services
     */
    public void keep(Collection<Upstream> kept, Map<ServiceId, Service> services) {
        lock.run(() -> {
            Map<UpstreamId, Entry> previous = new HashMap<>(entries);
            entries.clear();
            for (Upstream upstream : kept) {
                int limit = services.get(upstream.service()).slotsPerUpstream();
                Entry before = previous.get(upstream.id());
                entries.put(
                        upstream.id(), new Entry(upstream, limit, before == null ? new HashMap<>() : before.running));
            }
        });
    }

    /**
     * Grants the least loaded idle slot.
     *
     * @param wish what is wished for
     * @return a lease, or empty when no slot is idle
     */
    public Optional<GrantedSlot> grant(SlotWish wish) {
        return lock.compute(() -> entries.values().stream()
                .filter(entry -> entry.upstream.service().equals(wish.service()))
                .filter(entry -> !wish.avoid().contains(entry.upstream.id()))
                .filter(Entry::hasIdleSlot)
                .min(Comparator.comparingInt(entry -> entry.running.size()))
                .map(this::start));
    }

    /**
     * Takes a slot back.
     *
     * @param lease identifier of the lease
     * @param upstream upstream it belongs to
     * @param slotReturn what the attempt showed
     */
    public void release(LeaseId lease, UpstreamId upstream, SlotReturn slotReturn) {
        lock.run(() -> {
            Entry entry = entries.get(upstream);
            if (entry != null) {
                entry.running.remove(lease);
            }
        });
    }

    /**
     * Describes the kept upstreams.
     *
     * @return one line of state each, in the order of their names
     */
    public List<UpstreamState> dump() {
        return lock.compute(() -> {
            List<UpstreamState> states = new ArrayList<>();
            entries.values()
                    .forEach(entry -> states.add(new UpstreamState(
                            entry.upstream.id(), entry.upstream.service(), entry.limit, entry.running.size())));
            states.sort(Comparator.comparing(UpstreamState::upstream));
            return states;
        });
    }

    private GrantedSlot start(Entry entry) {
        nextSequence++;
        LeaseId lease = new LeaseId(incarnation, nextSequence);
        entry.running.put(lease, clock.nowNanos());
        return new GrantedSlot(lease, entry.upstream.id(), entry.upstream.address());
    }

    /**
     * State of one kept upstream.
     *
     * @param upstream its name
     * @param service its service
     * @param limit requests it may run at a time
     * @param running requests that run now
     */
    public record UpstreamState(UpstreamId upstream, ServiceId service, int limit, int running) {}

    private record Entry(Upstream upstream, int limit, Map<LeaseId, Long> running) {
        boolean hasIdleSlot() {
            return running.size() < limit;
        }
    }
}
