package org.turmericspan.membership;

import java.util.Collection;
import java.util.OptionalLong;
import org.turmericspan.ids.VmId;

/**
 * Determines since when a view is known to be current without the platform: while every listed node holds this view, no
 * node can act on a newer one.
 */
public final class ViewAgreement {
    private ViewAgreement() {}

    /**
     * Computes the latest time at which every listed node is known to have held the view.
     *
     * @param revision revision of the view
     * @param listedPeers the other nodes of the view
     * @param peers last reported states of those nodes
     * @return monotonic time, or empty when a node holds another view or has never replied
     */
    public static OptionalLong agreedNanos(long revision, Collection<VmId> listedPeers, Peers peers) {
        long earliestNanos = Long.MAX_VALUE;
        for (VmId vm : listedPeers) {
            OptionalLong answeredRequestNanos = peers.find(vm)
                    .filter(peer -> peer.viewRevision() == revision)
                    .map(PeerState::answeredRequestNanos)
                    .orElse(OptionalLong.empty());
            if (answeredRequestNanos.isEmpty()) {
                return OptionalLong.empty();
            }
            earliestNanos = Math.min(earliestNanos, answeredRequestNanos.getAsLong());
        }
        return listedPeers.isEmpty() ? OptionalLong.empty() : OptionalLong.of(earliestNanos);
    }
}
