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
 * Chooses from where this node learns what was published: one node a zone reads the store, the others read from it, and
 * read the store themselves when it does not answer. A node that the store turns away reads from any node it serves.
 */
final class ReaderSelection implements StoreSourceSelector {
    /** Time for which a source that gave no answer is passed over. */
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final SocketAddress store;
    private final MemberTable members;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<SocketAddress, Long> failedNanos = new HashMap<>();

    ReaderSelection(SocketAddress store, MemberTable members, MonotonicClock clock, RandomGenerator random) {
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
                .filter(this::isTrusted);
        if (reader.isPresent()) {
            return reader.get();
        }
        if (isTrusted(store)) {
            return store;
        }
        return other(member -> member.availabilityZone().equals(members.self().availabilityZone()))
                .or(() -> other(member -> true))
                .orElse(store);
    }

    private Optional<SocketAddress> other(Predicate<Member> filter) {
        List<SocketAddress> candidates = members.aliveMembers().stream()
                .filter(member -> !isSelf(member) && member.reading())
                .filter(filter)
                .map(Member::address)
                .filter(this::isTrusted)
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    private boolean isSelf(Member member) {
        return member.address().equals(members.self().address());
    }

    private boolean isTrusted(SocketAddress source) {
        Long failed = failedNanos.get(source);
        return failed == null || clock.nowNanos() - failed > AVOID_NANOS;
    }

    @Override
    public void reportFailure(SocketAddress source) {
        failedNanos.put(source, clock.nowNanos());
    }
}
