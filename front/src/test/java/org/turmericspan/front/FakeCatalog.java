package org.turmericspan.front;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.ids.ServiceId;

/** Catalog that holds only the service {@code mixing}. */
final class FakeCatalog implements ServiceCatalog {
    static final int BODY_LIMIT_BYTES = 1_000;

    @Override
    public Optional<ServiceLimits> limits(ServiceId service) {
        return service.value().equals("mixing")
                ? Optional.of(new ServiceLimits(
                        Duration.ofMillis(1_500), Duration.ofSeconds(5), BODY_LIMIT_BYTES, BODY_LIMIT_BYTES))
                : Optional.empty();
    }

    @Override
    public boolean isIdempotent(ServiceId service, String method, String path) {
        return method.equals("GET");
    }

    @Override
    public boolean requiresRunToken(ServiceId service, String method, String path) {
        return true;
    }
}
