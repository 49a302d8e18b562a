package org.turmericspan.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.OptionalLong;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.VmId;

/**
 * Decides when a newly started process may activate the newest configuration it knows: once every listed node has
 * replied and none has a newer one, or after a timeout, since a listed node may have failed.
 */
public final class StartupSync {
    /** Longest time from receiving the first valid configuration to its activation. */
    static final Duration TIMEOUT = Duration.ofSeconds(3);

    private StartupSync() {}

    /**
     * Returns whether this node may activate the newest configuration that it knows.
     *
     * @param known newest version known to this node, active or pending
     * @param knownSinceNanos monotonic time at which this node received its first valid configuration; empty while it
     *     has received none
     * @param listedPeers the other nodes of the view
     * @param peers last reported states of those nodes
     * @param nowNanos monotonic time
     * @return true when every listed node has replied without a newer version, or after the timeout
     */
    public static boolean isComplete(
            ConfigurationVersion known,
            OptionalLong knownSinceNanos,
            Collection<VmId> listedPeers,
            Peers peers,
            long nowNanos) {
        if (knownSinceNanos.isEmpty()) {
            return false;
        }
        boolean isTimedOut = nowNanos - knownSinceNanos.getAsLong() >= TIMEOUT.toNanos();
        return isTimedOut
                || !listedPeers.isEmpty() && listedPeers.stream().allMatch(vm -> hasNoNewerVersion(known, vm, peers));
    }

    private static boolean hasNoNewerVersion(ConfigurationVersion known, VmId vm, Peers peers) {
        return peers.find(vm)
                .filter(peer -> peer.answeredRequestNanos().isPresent())
                .filter(peer -> !peer.configuration().isAfter(known))
                .isPresent();
    }
}
