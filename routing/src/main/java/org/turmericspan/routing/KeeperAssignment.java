package org.turmericspan.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;

/**
 * Chooses the keeper of each upstream by rendezvous hashing over the entry VMs of the accepted view. Every node
 * computes the same answer from the same view, so no message is needed to agree on it.
 */
public final class KeeperAssignment {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private KeeperAssignment() {}

    /**
     * Assigns keepers. VMs in the upstream's own availability zone go first.
     *
     * @param upstreams upstreams to keep
     * @param entryVms candidates; leaving ones must not be among them
     * @return keeper by upstream; empty when there is no candidate
     */
    public static Map<UpstreamId, VmId> assign(Collection<Upstream> upstreams, Collection<Vm> entryVms) {
        return upstreams.stream()
                .filter(upstream -> !entryVms.isEmpty())
                .collect(Collectors.toMap(
                        Upstream::id, upstream -> best(upstream, entryVms).orElseThrow()));
    }

    private static Optional<VmId> best(Upstream upstream, Collection<Vm> entryVms) {
        Comparator<Vm> byZone = Comparator.comparing(vm -> vm.availabilityZone().equals(upstream.availabilityZone()));
        return entryVms.stream()
                .max(byZone.thenComparing(vm -> score(upstream.id(), vm.id())).thenComparing(Vm::id))
                .map(Vm::id);
    }

    /**
     * Computes the rendezvous score of a pair.
     *
     * @param upstream the upstream
     * @param vm the candidate
     * @return a well-mixed 64-bit number, equal on every node
     */
    static long score(UpstreamId upstream, VmId vm) {
        long hash = FNV_OFFSET;
        String text = upstream.value() + "/" + vm.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> MIX_SHIFT) * MIX_FIRST;
        mixed = (mixed ^ mixed >>> MIX_SHIFT) * MIX_SECOND;
        return mixed ^ mixed >>> MIX_SHIFT;
    }
}
