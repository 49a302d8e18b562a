package org.turmericspan.calls;

import java.util.Optional;
import org.turmericspan.ids.ServiceId;

/** Per-service settings of the active configuration that the handler chain needs. */
public interface ServiceCatalog {
    /**
     * Looks up a service.
     *
     * @param service name of the service
     * @return its limits, or empty when it is not configured
     */
    Optional<ServiceLimits> limits(ServiceId service);

    /**
     * Returns whether a request may be sent more than once.
     *
     * @param service called service
     * @param method HTTP method in upper case
     * @param path path within the service
     * @return true when the request is idempotent
     */
    boolean isIdempotent(ServiceId service, String method, String path);

    /**
     * Returns whether a non-idempotent request without a run token is refused.
     *
     * @param service called service
     * @param method HTTP method in upper case
     * @param path path within the service
     * @return true unless a rule allows it
     */
    boolean requiresRunToken(ServiceId service, String method, String path);
}
