package org.turmericspan.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.ids.ServiceId;

/** Catalog that contains every service, with the same limits for all. */
final class FakeCatalog implements ServiceCatalog {
    @Override
    public Optional<ServiceLimits> limits(ServiceId service) {
        return Optional.of(new ServiceLimits(Duration.ofSeconds(1), Duration.ofSeconds(1), 1_000, 1_000));
    }

    @Override
    public boolean isIdempotent(ServiceId service, String method, String path) {
        return true;
    }

    @Override
    public boolean requiresRunToken(ServiceId service, String method, String path) {
        return false;
    }
}
