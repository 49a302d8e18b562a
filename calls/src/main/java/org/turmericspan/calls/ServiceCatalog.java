package org.turmericspan.calls;

import java.util.Optional;
import org.turmericspan.ids.ServiceId;

/** What the configuration in force says of services, as far as a call's path needs it. */
public interface ServiceCatalog {
    /**
     * Looks up a service.
     *
     * @param service its name
     * @return its limits, or empty when it is not configured
     */
    Optional<ServiceLimits> limits(ServiceId service);

    /**
     * Tells whether a request may be repeated.
     *
     * @param service service called
     * @param method HTTP method in capital letters
     * @param path path within the service
     * @return true when the request is idempotent
     */
    boolean isIdempotent(ServiceId service, String method, String path);

    /**
     * Tells whether a non-idempotent request without a run token is refused.
     *
     * @param service service called
     * @param method HTTP method in capital letters
     * @param path path within the service
     * @return true unless a rule allows it
     */
    boolean requiresRunToken(ServiceId service, String method, String path);
}
