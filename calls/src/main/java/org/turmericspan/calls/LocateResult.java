package org.turmericspan.calls;

import java.time.Duration;
import java.util.List;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Entry VMs that a caller should use for a service.
 *
 * @param addresses entry VMs in the order in which to try them
 * @param timeToLive how long the caller may cache the result
 */
public record LocateResult(List<Endpoint> addresses, Duration timeToLive) {
    /** Copies the list. */
    public LocateResult {
        addresses = List.copyOf(addresses);
    }

    /**
     * Entry VM.
     *
     * @param vm name of the VM
     * @param address address that callers connect to
     * @param weight relative share of the service's slots that the VM owns
     */
    public record Endpoint(VmId vm, SocketAddress address, int weight) {}
}
