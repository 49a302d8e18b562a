package org.turmericspan.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.turmericspan.feed.StoreSourceSelector;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/**
 * Selects the source from which this node reads the store. One node per zone reads the store itself; the others read
 * from this reader, or from the store when the reader does not respond. When reads of the store fail too, a node reads
 * from any node with contact to the store, preferably of its own zone.
 */
final class ZoneReaderSelector implements StoreSourceSelector {
    /** Time for which a source is not selected after a failed read. */
    private static final long BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final SocketAddress store;
    private final MemberTable members;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<SocketAddress, Long> lastFailuresNanos = new HashMap<>();

    ZoneReaderSelector(SocketAddress store, MemberTable members, MonotonicClock clock, RandomGenerator random) {
        this.store = store;
        this.members = members;
        this.clock = clock;
        this.random = random;
    }

    @Override
    public SocketAddress select() {
        Optional<SocketAddress> reader = members.storeReader()
                .filter(member -> !isSelf(member) && member.reading())
                .map(Member::address)
                .filter(this::isOutsideBackoff);
        if (reader.isPresent()) {
            return reader.get();
        }
        if (isOutsideBackoff(store)) {
            return store;
        }
        return randomPeer(member ->
                        member.availabilityZone().equals(members.self().availabilityZone()))
                .or(() -> randomPeer(member -> true))
                .orElse(store);
    }

    private Optional<SocketAddress> randomPeer(Predicate<Member> filter) {
        List<SocketAddress> candidates = members.aliveMembers().stream()
                .filter(member -> !isSelf(member) && member.reading())
                .filter(filter)
                .map(Member::address)
                .filter(this::isOutsideBackoff)
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private boolean isSelf(Member member) {
        return member.address().equals(members.self().address());
    }

    private boolean isOutsideBackoff(SocketAddress source) {
        Long lastFailureNanos = lastFailuresNanos.get(source);
        return lastFailureNanos == null || clock.nowNanos() - lastFailureNanos > BACKOFF_NANOS;
    }

    @Override
    public void reportFailure(SocketAddress source) {
        lastFailuresNanos.put(source, clock.nowNanos());
    }
}
