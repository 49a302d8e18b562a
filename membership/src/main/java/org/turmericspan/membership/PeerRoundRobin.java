package org.turmericspan.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.VmId;

/** Randomized round-robin: chooses each peer once per round, and shuffles the peers for each round. */
public final class PeerRoundRobin {
    private final RandomGenerator random;
    private final Deque<VmId> round = new ArrayDeque<>();
    private Set<VmId> roundPeers = Set.of();

    /**
     * Creates a round-robin without a current round.
     *
     * @param random source of the order
     */
    public PeerRoundRobin(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the next peer. A new round starts when the current one is over or when the peers have changed.
     *
     * @param peers the current peers
     * @return the next peer, or empty when there is none
     */
    public Optional<VmId> next(Collection<VmId> peers) {
        Set<VmId> currentPeers = new HashSet<>(peers);
        if (round.isEmpty() || !currentPeers.equals(roundPeers)) {
            roundPeers = currentPeers;
            round.clear();
            round.addAll(shuffled(peers));
        }
        return Optional.ofNullable(round.poll());
    }

    /**
     * Chooses several different peers at random. The current round is not affected.
     *
     * @param peers the current peers
     * @param count maximum number of peers
     * @return the chosen peers
     */
    public List<VmId> sample(Collection<VmId> peers, int count) {
        return shuffled(peers).stream().limit(count).toList();
    }

    private List<VmId> shuffled(Collection<VmId> peers) {
        List<VmId> shuffled = new ArrayList<>(peers);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
    }
}
