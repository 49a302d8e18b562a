package org.turmericspan.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.time.Duration;
import java.util.Set;
import javax.inject.Singleton;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.front.OperatorServer;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.membership.ViewTable;

/** Wires the operator server and the sections of the state dump that belong to no other module. */
@Module
final class StateModule {
    private StateModule() {}

    @Provides
    @Singleton
    static OperatorServer operatorServer(
            Set<StateSection> sections,
            MetricRegistry metrics,
            ConfigurationTable configurations,
            NodeLifecycle nodeLifecycle) {
        return new OperatorServer(
                sections,
                metrics,
                () -> nodeLifecycle.phase() != NodeLifecycle.Phase.STARTING
                        && !configurations.version().equals(ConfigurationVersion.NONE));
    }

    @Provides
    @IntoSet
    static StateSection node(NodeIdentity identity) {
        return NamedSection.of(
                "node",
                () -> new NodeDump(
                        identity.vm().value(),
                        identity.availabilityZone().value(),
                        identity.incarnation().toString()));
    }

    @Provides
    @IntoSet
    static StateSection configuration(ConfigurationTable table, MonotonicClock clock) {
        return NamedSection.of(
                "configuration",
                () -> new ConfigurationDump(
                        table.version().number(),
                        table.version().digest(),
                        Duration.ofNanos(clock.nowNanos() - table.acceptedNanos())
                                .toMillis()));
    }

    @Provides
    @IntoSet
    static StateSection view(ViewTable table, MonotonicClock clock) {
        return NamedSection.of(
                "view",
                () -> new ViewDump(
                        table.current().revision(),
                        table.current().vms().size(),
                        Duration.ofNanos(clock.nowNanos() - table.confirmedNanos())
                                .toMillis()));
    }

    private record NodeDump(
            String vm, @JsonProperty("availability_zone") String availabilityZone, String incarnation) {}

    private record ConfigurationDump(
            long version,
            String digest,
            @JsonProperty("age_ms") long ageMillis) {}

    private record ViewDump(
            long revision,
            int vms,
            @JsonProperty("confirmed_age_ms") long confirmedAgeMillis) {}
}
