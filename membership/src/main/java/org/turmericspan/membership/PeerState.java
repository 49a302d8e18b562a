package org.turmericspan.membership;

import java.util.List;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/**
 * What another node last said of itself.
 *
 * @param vm its VM
 * @param incarnation its life
 * @param configuration version in force there
 * @param viewRevision revision of the view accepted there
 * @param viewConfirmedNanos monotonic time here at which the platform confirmed that view
 * @param leaving whether it is about to stop
 * @param idleSlots slots idle there, by service
 * @param heardNanos monotonic time here at which it was last heard
 */
public record PeerState(
        VmId vm,
        Incarnation incarnation,
        ConfigurationVersion configuration,
        long viewRevision,
        long viewConfirmedNanos,
        boolean leaving,
        List<PeerMessage.IdleSlots> idleSlots,
        long heardNanos) {
    /** Copies the list. */
    public PeerState {
        idleSlots = List.copyOf(idleSlots);
    }

    static PeerState of(VmId vm, PeerMessage.Heartbeat heartbeat, long nowNanos) {
        return new PeerState(
                vm,
                heartbeat.incarnation(),
                new ConfigurationVersion(heartbeat.configurationNumber(), heartbeat.configurationDigest()),
                heartbeat.viewRevision(),
                nowNanos - heartbeat.viewAge().toNanos(),
                heartbeat.leaving(),
                heartbeat.idleSlots(),
                nowNanos);
    }
}
