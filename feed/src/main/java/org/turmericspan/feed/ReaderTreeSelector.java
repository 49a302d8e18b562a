package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.turmericspan.feed.StoreSource.Kind;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/**
 * Selects the source from which this node reads the store, so that the reads of the store do not grow with the fleet.
 * One node of the fleet reads the store itself, the first reader of each zone reads from that node, and the others of a
 * zone from its first reader. Whoever is next in the order replaces a reader that does not respond. When no source is
 * left, relays that responded without contact, and the store, are tried again after one delay. The load patterns
 * are a fleet that grows, one that starts at once, and a store that rejects some nodes or all of them.
 */
public final class ReaderTreeSelector implements StoreSourceSelector {
    /** Time for which a source that does not respond is not selected. */
    private static final long BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);
    /**
     * Readers of a zone, in their order, that may read for it. Others do not turn to the store, which would have to
     * reject the whole fleet during an outage.
     */
    private static final int MAX_ZONE_READERS = 2;

    private final SocketAddress store;
    private final MemberTable members;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<SocketAddress, Long> lastFailuresNanos = new HashMap<>();
    /** Relays that responded without contact since the last delay; they may regain it at any time. */
    private final Set<SocketAddress> relaysWithoutContact = new HashSet<>();

    private boolean isStoreTried;

    /**
     * Creates a selector to which no source has failed yet.
     *
     * @param store address of the store
     * @param members nodes known to this node
     * @param clock monotonic clock
     * @param random chooses among nodes that read the store
     */
    public ReaderTreeSelector(SocketAddress store, MemberTable members, MonotonicClock clock, RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public StoreSource select() {
        List<Member> zoneReaders = firstReaders(members.zoneReaders());
        for (Member reader : zoneReaders) {
            if (isSelf(reader)) {
                return selectForZone();
            }
            if (isOutsideBackoff(reader.address())) {
                return new StoreSource(reader.address(), Kind.ZONE_READER);
            }
        }
        return zoneReaders.isEmpty() ? selectForZone() : selectWithoutZoneReader(zoneReaders);
    }

    private static List<Member> firstReaders(List<Member> readers) {
        return readers.size() <= MAX_ZONE_READERS ? readers : readers.subList(0, MAX_ZONE_READERS);
    }

    /** Selects the source of a node that reads for its zone: the store if it is the first in the fleet to do so. */
    private StoreSource selectForZone() {
        for (Member reader : fleetOrder()) {
            if (isSelf(reader) && isOutsideBackoff(store)) {
                return new StoreSource(store, Kind.STORE);
            }
            if (!isSelf(reader) && isOutsideBackoff(reader.address())) {
                return new StoreSource(reader.address(), Kind.STORE_READER);
            }
        }
        return randomStoreReader().orElse(new StoreSource(store, Kind.STORE));
    }

    /** Lists the readers of the other zones and this node, which reads for its own, in the order of the fleet. */
    private List<Member> fleetOrder() {
        Member self = members.self();
        List<Member> readers = new ArrayList<>();
        for (Member reader : members.fleetReaders()) {
            if (!reader.availabilityZone().equals(self.availabilityZone())) {
                readers.add(reader);
            }
        }
        readers.add(self);
        readers.sort(MemberTable.readerOrder());
        return readers;
    }

    /** Selects the source of a node whose zone's readers do not respond or have no contact with the store. */
    private StoreSource selectWithoutZoneReader(List<Member> zoneReaders) {
        for (Member reader : members.fleetReaders()) {
            if (!isSelf(reader) && isOutsideBackoff(reader.address())) {
                return new StoreSource(reader.address(), Kind.ZONE_READER);
            }
        }
        return randomStoreReader()
                .orElseGet(() -> new StoreSource(
                        zoneReaders.get(random.nextInt(zoneReaders.size())).address(), Kind.ZONE_READER));
    }

    /** Selects a node that says that it reads the store itself. */
    private Optional<StoreSource> randomStoreReader() {
        List<Member> readers = members.aliveMembers().stream()
                .filter(member -> member.reading() && !isSelf(member) && isOutsideBackoff(member.address()))
                .toList();
        return readers.isEmpty()
                ? Optional.empty()
                : Optional.of(new StoreSource(
                        readers.get(random.nextInt(readers.size())).address(), Kind.STORE_READER));
    }

    private boolean isSelf(Member member) {
        return member.address().equals(members.self().address());
    }

    private boolean isOutsideBackoff(SocketAddress source) {
        Long lastFailureNanos = lastFailuresNanos.get(source);
        return lastFailureNanos == null || clock.nowNanos() - lastFailureNanos > BACKOFF_NANOS;
    }

    /**
     * Returns the store.
     *
     * @return the store as a source
     */
    public StoreSource store() {
        return new StoreSource(store, Kind.STORE);
    }

    /**
     * Returns the position of this node among those that it knows, in the order in which they read the store.
     *
     * @return the position as of now
     */
    public FleetPosition position() {
        Member self = members.self();
        List<Member> alive = members.aliveMembers();
        int rank = 0;
        for (Member member : alive) {
            if (!member.leaving() && MemberTable.readerOrder().compare(member, self) < 0) {
                rank++;
            }
        }
        return new FleetPosition(rank, alive.size());
    }

    @Override
    public boolean reportFailure(StoreSource source, SourceFailure failure) {
        lastFailuresNanos.put(source.address(), clock.nowNanos());
        if (source.isStore()) {
            isStoreTried = true;
        } else if (failure == SourceFailure.REJECTED) {
            relaysWithoutContact.add(source.address());
        } else {
            relaysWithoutContact.remove(source.address());
        }
        if (isUntried(select())) {
            return true;
        }
        lastFailuresNanos.keySet().removeAll(relaysWithoutContact);
        relaysWithoutContact.clear();
        isStoreTried = false;
        return false;
    }

    private boolean isUntried(StoreSource source) {
        return isOutsideBackoff(source.address()) || source.isStore() && !isStoreTried;
    }
}
