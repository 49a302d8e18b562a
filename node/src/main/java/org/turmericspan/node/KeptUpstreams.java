package org.turmericspan.node;

import java.util.List;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Upstream;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.routing.FleetMap;
import org.turmericspan.routing.SlotTable;

/** Recomputes which upstreams this node keeps whenever the configuration or the view moves up. */
@Singleton
final class KeptUpstreams {
    private final NodeIdentity identity;
    private final ConfigurationTable configurations;
    private final ViewTable views;
    private final SlotTable slots;
    private final Supplier<FleetMap> map;

    @Inject
    KeptUpstreams(
            NodeIdentity identity,
            ConfigurationTable configurations,
            ViewTable views,
            SlotTable slots,
            Supplier<FleetMap> map) {
        this.identity = identity;
        this.configurations = configurations;
        this.views = views;
        this.slots = slots;
        this.map = map;
    }

    void start() {
        configurations.addListener(configuration -> update());
        views.addListener(view -> update());
    }

    private void update() {
        FleetMap current = map.get();
        Configuration configuration = current.configuration();
        List<Upstream> kept = configuration.upstreams().values().stream()
                .filter(upstream -> configuration.isInService(upstream.availabilityZone(), upstream.vm()))
                .filter(upstream -> identity.vm().equals(current.keepers().get(upstream.id())))
                .toList();
        slots.keep(kept, configuration.services());
    }
}
