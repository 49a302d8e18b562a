package org.turmericspan.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Function;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;

/**
 * Chooses the keeper of each upstream by rendezvous hashing with bounded load over the entry VMs of the accepted view.
 * Every node computes the same answer from the same view, so no message is needed to agree on it.
 *
 * <p>Upstreams and VMs rank one another by availability zone and rendezvous score, and are matched as in the stable
 * marriage problem: the matching does not depend on the order of the input, and a VM that goes moves little beyond the
 * upstreams it kept.
 */
public final class KeeperAssignment {
    private static final int BOUND_NUMERATOR = 5;
    private static final int BOUND_DENOMINATOR = 4;

    private KeeperAssignment() {}

    /**
     * Assigns keepers. An upstream is kept in its own region, and in its own availability zone where the bound allows.
     *
     * @param upstreams upstreams to keep
     * @param entryVms candidates; leaving ones must not be among them
     * @param regions region by availability zone
     * @return keeper by upstream; an upstream without a candidate in its region is missing
     */
    public static Map<UpstreamId, VmId> assign(
            Collection<Upstream> upstreams, Collection<Vm> entryVms, Function<AvailabilityZoneId, RegionId> regions) {
        Map<Group, List<Upstream>> groups = new HashMap<>();
        upstreams.forEach(upstream -> groups.computeIfAbsent(
                        new Group(upstream.service(), regions.apply(upstream.availabilityZone())),
                        group -> new ArrayList<>())
                .add(upstream));
        Map<UpstreamId, VmId> keepers = new TreeMap<>();
        groups.forEach((group, members) -> {
            List<Vm> candidates = entryVms.stream()
                    .filter(vm -> group.region().equals(regions.apply(vm.availabilityZone())))
                    .toList();
            if (!candidates.isEmpty()) {
                match(members, candidates, keepers);
            }
        });
        return keepers;
    }

    /**
     * Computes the most upstreams of one service that one VM keeps.
     *
     * @param upstreams number of upstreams in the region
     * @param vms number of candidates in the region
     * @return the bound, a quarter above the even share
     */
    public static int bound(int upstreams, int vms) {
        int divisor = BOUND_DENOMINATOR * vms;
        return (BOUND_NUMERATOR * upstreams + divisor - 1) / divisor;
    }

    private static void match(List<Upstream> upstreams, List<Vm> vms, Map<UpstreamId, VmId> keepers) {
        int bound = bound(upstreams.size(), vms.size());
        Map<VmId, PriorityQueue<Pair>> kept = new HashMap<>();
        Deque<Deque<Pair>> unmatched = new ArrayDeque<>();
        Map<UpstreamId, Deque<Pair>> choices = new HashMap<>();
        for (Upstream upstream : upstreams) {
            Deque<Pair> ranked = ranked(upstream, vms);
            choices.put(upstream.id(), ranked);
            unmatched.add(ranked);
        }
        while (!unmatched.isEmpty()) {
            Pair best = unmatched.remove().remove();
            PriorityQueue<Pair> atVm = kept.computeIfAbsent(best.vm(), vm -> new PriorityQueue<>(Pair.ORDER));
            atVm.add(best);
            if (atVm.size() > bound) {
                unmatched.add(choices.get(atVm.remove().upstream()));
            }
        }
        kept.values().forEach(pairs -> pairs.forEach(pair -> keepers.put(pair.upstream(), pair.vm())));
    }

    private static Deque<Pair> ranked(Upstream upstream, List<Vm> vms) {
        List<Pair> pairs = new ArrayList<>(vms.size());
        for (Vm vm : vms) {
            boolean sameZone = vm.availabilityZone().equals(upstream.availabilityZone());
            pairs.add(new Pair(upstream.id(), vm.id(), sameZone, RendezvousScore.of(upstream.id(), vm.id())));
        }
        pairs.sort(Pair.ORDER.reversed());
        return new ArrayDeque<>(pairs);
    }

    private record Group(ServiceId service, RegionId region) {}

    private record Pair(UpstreamId upstream, VmId vm, boolean sameZone, long score) {
        /** Worst first. */
        static final Comparator<Pair> ORDER = Comparator.comparing(Pair::sameZone)
                .thenComparingLong(Pair::score)
                .thenComparing(Pair::upstream)
                .thenComparing(Pair::vm);
    }
}
