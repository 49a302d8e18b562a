package org.turmericspan.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Table of the other nodes, filled by heartbeats. */
public final class PeerTable implements Peers {
    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final MonotonicClock clock;
    private final Map<VmId, PeerState> peers = new TreeMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock tells when a node was heard
     */
    public PeerTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Notes a heartbeat that a node sent of itself. It may have waited in a buffer for long.
     *
     * @param from VM of the sender
     * @param heartbeat what it said
     */
    public void recordHeartbeat(VmId from, PeerMessage.Heartbeat heartbeat) {
        lock.run(() -> {
            PeerState before = peers.get(from);
            boolean isSameLife = before != null && before.incarnation().equals(heartbeat.incarnation());
            OptionalLong answered = isSameLife ? before.answeredRequestNanos() : OptionalLong.empty();
            peers.put(from, PeerState.of(from, heartbeat, clock.nowNanos(), answered));
        });
    }

    /**
     * Notes a heartbeat that answered one of this node's own.
     *
     * @param from VM of the sender
     * @param heartbeat what it said
     * @param askedNanos monotonic time at which this node asked
     */
    public void recordReply(VmId from, PeerMessage.Heartbeat heartbeat, long askedNanos) {
        lock.run(() -> peers.put(from, PeerState.of(from, heartbeat, clock.nowNanos(), OptionalLong.of(askedNanos))));
    }

    /**
     * Forgets every node that is not listed any more.
     *
     * @param listed VMs of the accepted view
     */
    public void retainOnly(Collection<VmId> listed) {
        lock.run(() -> peers.keySet().retainAll(listed));
    }

    @Override
    public Optional<PeerState> find(VmId vm) {
        return lock.compute(() -> Optional.ofNullable(peers.get(vm)));
    }

    @Override
    public Optional<VmId> findByIncarnation(Incarnation incarnation) {
        return lock.compute(() -> peers.values().stream()
                .filter(peer -> peer.incarnation().equals(incarnation))
                .map(PeerState::vm)
                .findFirst());
    }

    @Override
    public List<PeerState> all() {
        return lock.compute(() -> List.copyOf(peers.values()));
    }
}
