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
 * Assigns each upstream to an owner by rendezvous hashing with bounded loads over the entry VMs of the accepted view.
 * Every node computes the same assignment from the same view, so no message is needed to agree on it.
 *
 * <p>Upstreams and VMs rank one another by availability zone and rendezvous score and are paired by stable matching
 * (Gale-Shapley). The matching does not depend on the order of the input, and removing a VM moves little beyond the
 * upstreams it owned.
 *
 * <p>The setting {@code slot-policy} and the peer protocol call an owner "keeper".
 */
public final class OwnerAssignment {
    private static final int BOUND_NUMERATOR = 5;
    private static final int BOUND_DENOMINATOR = 4;

    private OwnerAssignment() {}

    /**
     * Assigns owners. An upstream is owned in its own region, and in its own availability zone where the capacity bound
     * allows.
     *
     * @param upstreams upstreams to assign
     * @param entryVms candidates; leaving ones must not be among them
     * @param regions region by availability zone
     * @return owner by upstream; an upstream without a candidate in its region is absent
     */
    public static Map<UpstreamId, VmId> assign(
            Collection<Upstream> upstreams, Collection<Vm> entryVms, Function<AvailabilityZoneId, RegionId> regions) {
        Map<Group, List<Upstream>> groups = new HashMap<>();
        upstreams.forEach(upstream -> groups.computeIfAbsent(
                        new Group(upstream.service(), regions.apply(upstream.availabilityZone())),
                        group -> new ArrayList<>())
                .add(upstream));
        Map<UpstreamId, VmId> owners = new TreeMap<>();
        groups.forEach((group, members) -> {
            List<Vm> candidates = entryVms.stream()
                    .filter(vm -> group.region().equals(regions.apply(vm.availabilityZone())))
                    .toList();
            if (!candidates.isEmpty()) {
                match(members, candidates, owners);
            }
        });
        return owners;
    }

    /**
     * Computes the greatest number of upstreams of one service that one VM may own.
     *
     * @param upstreams number of upstreams in the region
     * @param vms number of candidates in the region
     * @return the bound, a quarter above the even share
     */
    public static int capacityBound(int upstreams, int vms) {
        int divisor = BOUND_DENOMINATOR * vms;
        return (BOUND_NUMERATOR * upstreams + divisor - 1) / divisor;
    }

    private static void match(List<Upstream> upstreams, List<Vm> vms, Map<UpstreamId, VmId> owners) {
        int capacityBound = capacityBound(upstreams.size(), vms.size());
        Map<VmId, PriorityQueue<Candidacy>> accepted = new HashMap<>();
        Deque<Deque<Candidacy>> unmatched = new ArrayDeque<>();
        Map<UpstreamId, Deque<Candidacy>> preferences = new HashMap<>();
        for (Upstream upstream : upstreams) {
            Deque<Candidacy> ranked = ranked(upstream, vms);
            preferences.put(upstream.id(), ranked);
            unmatched.add(ranked);
        }
        while (!unmatched.isEmpty()) {
            Candidacy candidacy = unmatched.remove().remove();
            PriorityQueue<Candidacy> acceptedByVm =
                    accepted.computeIfAbsent(candidacy.vm(), vm -> new PriorityQueue<>(Candidacy.ORDER));
            acceptedByVm.add(candidacy);
            if (acceptedByVm.size() > capacityBound) {
                unmatched.add(preferences.get(acceptedByVm.remove().upstream()));
            }
        }
        accepted.values()
                .forEach(candidacies ->
                        candidacies.forEach(candidacy -> owners.put(candidacy.upstream(), candidacy.vm())));
    }

    private static Deque<Candidacy> ranked(Upstream upstream, List<Vm> vms) {
        List<Candidacy> candidacies = new ArrayList<>(vms.size());
        for (Vm vm : vms) {
            boolean sameZone = vm.availabilityZone().equals(upstream.availabilityZone());
            candidacies.add(
                    new Candidacy(upstream.id(), vm.id(), sameZone, RendezvousScore.of(upstream.id(), vm.id())));
        }
        candidacies.sort(Candidacy.ORDER.reversed());
        return new ArrayDeque<>(candidacies);
    }

    private record Group(ServiceId service, RegionId region) {}

    private record Candidacy(UpstreamId upstream, VmId vm, boolean sameZone, long score) {
        /** Worst first. */
        static final Comparator<Candidacy> ORDER = Comparator.comparing(Candidacy::sameZone)
                .thenComparingLong(Candidacy::score)
                .thenComparing(Candidacy::upstream)
                .thenComparing(Candidacy::vm);
    }
}
