package org.turmericspan.membership;

import java.util.List;
import java.util.OptionalLong;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/**
 * Last state that another node reported in a heartbeat. All times are on the monotonic clock of this node.
 *
 * @param vm VM of the node
 * @param incarnation incarnation of the node's process
 * @param configuration version of the node's active configuration
 * @param viewRevision revision of the view that the node has accepted
 * @param viewConfirmedNanos lower bound for the time at which that view was last confirmed to be current
 * @param leaving whether the node is leaving
 * @param idleSlots idle slots of the node, by service
 * @param lastHeardNanos time at which the last heartbeat was received
 * @param answeredRequestNanos time at which this node sent the last request that the node replied to; the reported
 *     state is newer than that
 */
public record PeerState(
        VmId vm,
        Incarnation incarnation,
        ConfigurationVersion configuration,
        long viewRevision,
        long viewConfirmedNanos,
        boolean leaving,
        List<PeerMessage.IdleSlots> idleSlots,
        long lastHeardNanos,
        OptionalLong answeredRequestNanos) {
    /** Makes an immutable copy of the list. */
    public PeerState {
        idleSlots = List.copyOf(idleSlots);
    }

    /** Returns whether this state was sent before another one of the same process, which never goes back. */
    boolean isOlderThan(PeerState other) {
        return viewRevision < other.viewRevision || other.configuration.isAfter(configuration);
    }

    static PeerState of(VmId vm, PeerMessage.Heartbeat heartbeat, long nowNanos, OptionalLong answeredRequestNanos) {
        return new PeerState(
                vm,
                heartbeat.incarnation(),
                new ConfigurationVersion(heartbeat.configurationNumber(), heartbeat.configurationDigest()),
                heartbeat.viewRevision(),
                answeredRequestNanos.orElse(nowNanos) - heartbeat.viewAge().toNanos(),
                heartbeat.leaving(),
                heartbeat.idleSlots(),
                nowNanos,
                answeredRequestNanos);
    }
}
