package org.turmericspan.membership;

import java.time.Duration;
import java.util.Collection;
import java.util.OptionalLong;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.VmId;

/**
 * Decides when a fresh process trusts the highest configuration it knows: once every listed node has answered and none
 * has a higher one, or after a bounded wait, since a listed node may be gone.
 */
public final class StartupWait {
    /** Longest time from the first configuration known to its coming into force. */
    static final Duration LIMIT = Duration.ofSeconds(3);

    private StartupWait() {}

    /**
     * Tells whether the wait is over.
     *
     * @param known highest version known here, in force or not
     * @param knownSinceNanos monotonic time at which the first configuration was known here; empty before
     * @param listed the other nodes of the view
     * @param peers what they last said
     * @param nowNanos monotonic time
     * @return true when the highest known configuration may come into force
     */
    public static boolean isOver(
            ConfigurationVersion known,
            OptionalLong knownSinceNanos,
            Collection<VmId> listed,
            Peers peers,
            long nowNanos) {
        if (knownSinceNanos.isEmpty()) {
            return false;
        }
        boolean isLimitOver = nowNanos - knownSinceNanos.getAsLong() >= LIMIT.toNanos();
        return isLimitOver || !listed.isEmpty() && listed.stream().allMatch(vm -> isNoHigher(known, vm, peers));
    }

    private static boolean isNoHigher(ConfigurationVersion known, VmId vm, Peers peers) {
        return peers.find(vm)
                .filter(peer -> peer.answeredRequestNanos().isPresent())
                .filter(peer -> !peer.configuration().isAfter(known))
                .isPresent();
    }
}
