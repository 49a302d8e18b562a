package org.turmericspan.node;

import java.util.List;
import java.util.Map;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.routing.Candidates;
import org.turmericspan.routing.KeeperAssignment;
import org.turmericspan.routing.SlotTable;

/** Recomputes which upstreams this node keeps whenever the configuration or the view moves up. */
@Singleton
final class KeptUpstreams {
    private final NodeIdentity identity;
    private final ConfigurationTable configurations;
    private final ViewTable views;
    private final SlotTable slots;

    @Inject
    KeptUpstreams(NodeIdentity identity, ConfigurationTable configurations, ViewTable views, SlotTable slots) {
        this.identity = identity;
        this.configurations = configurations;
        this.views = views;
        this.slots = slots;
    }

    void start() {
        configurations.addListener(configuration -> update());
        views.addListener(view -> update());
    }

    private void update() {
        Configuration configuration = configurations.current();
        List<Upstream> inService = configuration.upstreams().values().stream()
                .filter(upstream -> configuration.isInService(upstream.availabilityZone(), upstream.vm()))
                .toList();
        Map<UpstreamId, VmId> keepers =
                KeeperAssignment.assign(inService, Candidates.of(configuration, views.current()));
        List<Upstream> kept = inService.stream()
                .filter(upstream -> identity.vm().equals(keepers.get(upstream.id())))
                .toList();
        slots.keep(kept, configuration.services());
    }
}
