package org.turmericspan.node;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.config.Rule;
import org.turmericspan.config.Service;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.membership.ConfigurationTable;

/** Service catalog that reads the active configuration. */
@Singleton
final class ConfiguredCatalog implements ServiceCatalog {
    private final ConfigurationTable configurations;

    @Inject
    ConfiguredCatalog(ConfigurationTable configurations) {
        this.configurations = configurations;
    }

    @Override
    public Optional<ServiceLimits> limits(ServiceId service) {
        return Optional.ofNullable(configurations.current().services().get(service))
                .map(ConfiguredCatalog::limits);
    }

    @Override
    public boolean isIdempotent(ServiceId service, String method, String path) {
        return configurations.current().isIdempotent(service, method, path);
    }

    @Override
    public boolean requiresRunToken(ServiceId service, String method, String path) {
        return configurations
                .current()
                .ruleFor(service, method, path)
                .map(Rule::tokenRequired)
                .orElse(true);
    }

    private static ServiceLimits limits(Service service) {
        return new ServiceLimits(
                service.defaultDeadline(),
                service.longestLease(),
                service.bodyLimitBytes(),
                service.answerLimitBytes());
    }
}
