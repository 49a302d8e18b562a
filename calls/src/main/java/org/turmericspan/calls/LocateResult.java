package org.turmericspan.calls;

import java.time.Duration;
import java.util.List;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Entry VMs to use for a service, in the order in which to try them.
 *
 * @param addresses in order of preference
 * @param timeToLive how long the caller may keep the answer
 */
public record LocateResult(List<Endpoint> addresses, Duration timeToLive) {
    /** Copies the list. */
    public LocateResult {
        addresses = List.copyOf(addresses);
    }

    /**
     * One entry VM.
     *
     * @param vm its name
     * @param address where callers connect
     * @param weight share of the service's slots it keeps
     */
    public record Endpoint(VmId vm, SocketAddress address, int weight) {}
}
