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

/** Table of the other nodes and the states that they reported in their last heartbeats. */
public final class PeerTable implements Peers {
    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final MonotonicClock clock;
    private final Map<VmId, PeerState> peers = new TreeMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock source of the times at which heartbeats are received
     */
    public PeerTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records a heartbeat that a node sent on its own initiative. It does not count as a reply, since it may have been
     * buffered for a long time; one that is older than the recorded state of its process has no effect.
     *
     * @param from VM of the sender
     * @param heartbeat the heartbeat
     */
    public void recordHeartbeat(VmId from, PeerMessage.Heartbeat heartbeat) {
        lock.run(() -> {
            PeerState previous = peers.get(from);
            boolean isSameIncarnation =
                    previous != null && previous.incarnation().equals(heartbeat.incarnation());
            OptionalLong answeredRequestNanos =
                    isSameIncarnation ? previous.answeredRequestNanos() : OptionalLong.empty();
            PeerState state = PeerState.of(from, heartbeat, clock.nowNanos(), answeredRequestNanos);
            if (!isSameIncarnation || !state.isOlderThan(previous)) {
                peers.put(from, state);
            }
        });
    }

    /**
     * Records a heartbeat that a node sent in reply to a heartbeat of this node.
     *
     * @param from VM of the sender
     * @param heartbeat the heartbeat
     * @param requestSentNanos monotonic time at which this node sent its heartbeat
     */
    public void recordReply(VmId from, PeerMessage.Heartbeat heartbeat, long requestSentNanos) {
        lock.run(() ->
                peers.put(from, PeerState.of(from, heartbeat, clock.nowNanos(), OptionalLong.of(requestSentNanos))));
    }

    /**
     * Removes every node that is not listed any more.
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
