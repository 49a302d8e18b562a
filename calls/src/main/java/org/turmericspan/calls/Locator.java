package org.turmericspan.calls;

import java.util.Optional;
import org.turmericspan.ids.ServiceId;

/** Answers which entry VMs a caller should use for a service. */
@FunctionalInterface
public interface Locator {
    /**
     * Chooses entry VMs.
     *
     * @param service service to be called
     * @return the answer, or empty when the service is not configured
     */
    Optional<LocateResult> locate(ServiceId service);
}
