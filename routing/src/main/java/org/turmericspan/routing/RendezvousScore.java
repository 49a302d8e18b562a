package org.turmericspan.routing;

import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/** Computes the rendezvous score of an upstream and a VM. */
final class RendezvousScore {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
    private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private RendezvousScore() {}

    /** Computes a well-mixed 64-bit number, equal on every node. */
    static long of(UpstreamId upstream, VmId vm) {
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
