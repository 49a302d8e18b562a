package org.turmericspan.caps;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;

/**
 * Immutable list of the nodes known at one time and who of them holds the shards of a cap: the nodes with the highest
 * rendezvous hash, spread over the zones so that each zone can spend its part on its own. Failed nodes stay in the list
 * until they are forgotten, so that the two sides of a split name the same holders.
 */
final class FleetView {
    private static final Comparator<Ranked> HIGHEST_FIRST =
            (first, second) -> Long.compare(second.hash(), first.hash());

    private final List<CapPeer> peers;
    private final Map<SocketAddress, CapPeer> peersByAddress = new HashMap<>();
    private final Map<SocketAddress, Long> hashesByAddress = new HashMap<>();
    private final Map<Long, List<SocketAddress>> holdersByTenant;
    private final long builtNanos;
    private final long changedNanos;

    private FleetView(
            List<CapPeer> peers, Map<Long, List<SocketAddress>> holdersByTenant, long builtNanos, long changedNanos) {
        this.peers = List.copyOf(peers);
        this.peers.forEach(peer -> peersByAddress.put(peer.address(), peer));
        this.peers.forEach(peer ->
                hashesByAddress.put(peer.address(), StableHash.of(peer.address().toString())));
        this.holdersByTenant = holdersByTenant;
        this.builtNanos = builtNanos;
        this.changedNanos = changedNanos;
    }

    static FleetView first(List<CapPeer> peers, long nowNanos) {
        return new FleetView(peers, new ConcurrentHashMap<>(), nowNanos, nowNanos);
    }

    /** Returns the view after a change in the states of nodes, or in the nodes themselves. */
    FleetView next(List<CapPeer> newPeers, long nowNanos) {
        return hasSameNodes(newPeers)
                ? new FleetView(newPeers, holdersByTenant, nowNanos, changedNanos)
                : first(newPeers, nowNanos);
    }

    private boolean hasSameNodes(List<CapPeer> others) {
        if (others.size() != peersByAddress.size()) {
            return false;
        }
        for (CapPeer other : others) {
            CapPeer peer = peersByAddress.get(other.address());
            if (peer == null || !peer.isSameNode(other)) {
                return false;
            }
        }
        return true;
    }

    boolean isEmpty() {
        return peers.isEmpty();
    }

    int size() {
        return peers.size();
    }

    /** Returns whether the set of nodes has not changed since another view. */
    boolean hasNodesOf(FleetView other) {
        return holdersByTenant == other.holdersByTenant;
    }

    long builtNanos() {
        return builtNanos;
    }

    /** Time at which the set of nodes last changed; before it, other nodes may have held the shards. */
    long changedNanos() {
        return changedNanos;
    }

    boolean isAlive(SocketAddress address) {
        CapPeer peer = peersByAddress.get(address);
        return peer != null && peer.isAlive();
    }

    boolean isInZone(SocketAddress address, AvailabilityZoneId zone) {
        CapPeer peer = peersByAddress.get(address);
        return peer != null && peer.availabilityZone().equals(zone);
    }

    /** Returns whether a node of a zone is alive. */
    boolean isInTouchWith(AvailabilityZoneId zone) {
        return peers.stream()
                .anyMatch(peer -> peer.isAlive() && peer.availabilityZone().equals(zone));
    }

    /**
     * Lists the nodes that hold the shards of a cap, one each from the first on. All nodes that know the same others
     * list the same.
     */
    List<SocketAddress> holders(long tenantHash) {
        return holdersByTenant.computeIfAbsent(tenantHash, this::chooseHolders);
    }

    private List<SocketAddress> chooseHolders(long tenantHash) {
        List<Ranked> ranked = new ArrayList<>();
        for (CapPeer peer : peers) {
            long hash = StableHash.combine(tenantHash, hashesByAddress.get(peer.address()));
            ranked.add(new Ranked(peer, hash));
        }
        ranked.sort(HIGHEST_FIRST);
        List<SocketAddress> chosen = new ArrayList<>();
        Map<AvailabilityZoneId, Integer> chosenByZone = new HashMap<>();
        for (int round = 1; chosen.size() < Math.min(CapLimits.MAX_SHARDS, ranked.size()); round++) {
            for (Ranked each : ranked) {
                AvailabilityZoneId zone = each.peer().availabilityZone();
                boolean isTaken = chosen.contains(each.peer().address());
                if (chosen.size() < CapLimits.MAX_SHARDS && !isTaken && chosenByZone.getOrDefault(zone, 0) < round) {
                    chosenByZone.merge(zone, 1, Integer::sum);
                    chosen.add(each.peer().address());
                }
            }
        }
        return List.copyOf(chosen);
    }

    /** A node with its rank for one tenant. */
    private record Ranked(CapPeer peer, long hash) {}
}
