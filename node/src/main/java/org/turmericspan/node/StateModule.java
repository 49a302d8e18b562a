package org.turmericspan.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import javax.inject.Singleton;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.front.OperatorServer;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.StopState;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.routing.SlotTable;

/** Wires the operator port and the parts of the state dump. */
@Module
final class StateModule {
    private StateModule() {}

    @Provides
    @Singleton
    static OperatorServer operatorServer(
            Set<StateSection> sections,
            MetricRegistry metrics,
            ConfigurationTable configurations,
            StopState stopState) {
        return new OperatorServer(
                sections, metrics, () -> stopState.phase() != StopState.Phase.STARTING
                        && !configurations.version().equals(ConfigurationVersion.NONE));
    }

    @Provides
    @IntoSet
    static StateSection node(NodeIdentity identity) {
        return NamedSection.of(
                "node",
                () -> new NodeState(
                        identity.vm().value(),
                        identity.availabilityZone().value(),
                        identity.incarnation().toString()));
    }

    @Provides
    @IntoSet
    static StateSection configuration(ConfigurationTable table, MonotonicClock clock) {
        return NamedSection.of(
                "configuration",
                () -> new ConfigurationState(
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
                () -> new ViewState(
                        table.current().revision(),
                        table.current().vms().size(),
                        Duration.ofNanos(clock.nowNanos() - table.confirmedNanos())
                                .toMillis()));
    }

    @Provides
    @IntoSet
    static StateSection upstreams(SlotTable table) {
        return NamedSection.of("upstreams", () -> upstreamStates(table));
    }

    private static List<UpstreamState> upstreamStates(SlotTable table) {
        return table.dump().stream()
                .map(state -> new UpstreamState(
                        state.upstream().value(), state.service().value(), state.limit(), state.running()))
                .toList();
    }

    private record NodeState(
            String vm, @JsonProperty("availability_zone") String availabilityZone, String incarnation) {}

    private record ConfigurationState(
            long version,
            String digest,
            @JsonProperty("age_ms") long ageMillis) {}

    private record ViewState(
            long revision,
            int vms,
            @JsonProperty("confirmed_age_ms") long confirmedAgeMillis) {}

    private record UpstreamState(String upstream, String service, int limit, int running) {}
}
