package org.turmericspan.membership;

import java.util.List;
import java.util.OptionalLong;
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
 * @param viewConfirmedNanos monotonic time here at which that view was known to be the newest, or earlier
 * @param leaving whether it is about to stop
 * @param idleSlots slots idle there, by service
 * @param lastHeardNanos monotonic time here at which it was last heard
 * @param answeredRequestNanos monotonic time here of the last question that it answered; what it said was true later
 *     than this
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
    /** Copies the list. */
    public PeerState {
        idleSlots = List.copyOf(idleSlots);
    }

    static PeerState of(VmId vm, PeerMessage.Heartbeat heartbeat, long nowNanos, OptionalLong answeredNanos) {
        return new PeerState(
                vm,
                heartbeat.incarnation(),
                new ConfigurationVersion(heartbeat.configurationNumber(), heartbeat.configurationDigest()),
                heartbeat.viewRevision(),
                answeredNanos.orElse(nowNanos) - heartbeat.viewAge().toNanos(),
                heartbeat.leaving(),
                heartbeat.idleSlots(),
                nowNanos,
                answeredNanos);
    }
}
