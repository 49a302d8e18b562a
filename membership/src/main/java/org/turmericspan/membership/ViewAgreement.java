package org.turmericspan.membership;

import java.util.Collection;
import java.util.OptionalLong;
import org.turmericspan.ids.VmId;

/**
 * Decides since when a view is known to be the newest without the platform's word: no node can act on a newer view
 * while every listed one holds this one.
 */
public final class ViewAgreement {
    private ViewAgreement() {}

    /**
     * Computes the latest time at which every listed node held the view.
     *
     * @param revision revision of the view
     * @param listed the other nodes of the view
     * @param peers what they last said
     * @return monotonic time, or empty when some node holds another view or never answered
     */
    public static OptionalLong agreedNanos(long revision, Collection<VmId> listed, Peers peers) {
        long earliestNanos = Long.MAX_VALUE;
        for (VmId vm : listed) {
            OptionalLong answeredNanos = peers.find(vm)
                    .filter(peer -> peer.viewRevision() == revision)
                    .map(PeerState::answeredRequestNanos)
                    .orElse(OptionalLong.empty());
            if (answeredNanos.isEmpty()) {
                return OptionalLong.empty();
            }
            earliestNanos = Math.min(earliestNanos, answeredNanos.getAsLong());
        }
        return listed.isEmpty() ? OptionalLong.empty() : OptionalLong.of(earliestNanos);
    }
}
