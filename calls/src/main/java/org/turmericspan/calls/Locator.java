package org.turmericspan.calls;

import java.util.Optional;
import org.turmericspan.ids.ServiceId;

/** Finds the entry VMs that a caller should use for a service. */
@FunctionalInterface
public interface Locator {
    /**
     * Chooses entry VMs.
     *
     * @param service service that the caller wants to call
     * @return the entry VMs, or empty when the service is not configured
     */
    Optional<LocateResult> locate(ServiceId service);
}
