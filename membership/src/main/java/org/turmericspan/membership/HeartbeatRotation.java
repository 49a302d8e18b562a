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

/** Decides which peer comes next: each once a round, in an order drawn anew for each round. */
public final class HeartbeatRotation {
    private final RandomGenerator random;
    private final Deque<VmId> round = new ArrayDeque<>();
    private Set<VmId> members = Set.of();

    /**
     * Creates a rotation.
     *
     * @param random draws the order
     */
    public HeartbeatRotation(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the next peer.
     *
     * @param peers the peers now
     * @return the next peer, or empty when there is none
     */
    public Optional<VmId> next(Collection<VmId> peers) {
        Set<VmId> now = new HashSet<>(peers);
        if (round.isEmpty() || !now.equals(members)) {
            members = now;
            round.clear();
            round.addAll(shuffled(peers));
        }
        return Optional.ofNullable(round.poll());
    }

    /**
     * Chooses several different peers at random, without moving the rotation.
     *
     * @param peers the peers now
     * @param count how many at most
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
