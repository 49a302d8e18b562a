package org.turmericspan.routing;

import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/** Rendezvous hashing: of the eligible VMs, an upstream prefers the one with the highest score as its owner. */
final class RendezvousScore {
    private RendezvousScore() {}

    /** Returns a uniformly distributed 64-bit number that is equal on every node. */
    static long of(UpstreamId upstream, VmId vm) {
        return StableHash.of(upstream.value() + "/" + vm.value());
    }
}
