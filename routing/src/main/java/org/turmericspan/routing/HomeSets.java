package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.turmericspan.calls.Located;
import org.turmericspan.calls.Locator;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;

/** Names the keepers of a service's upstreams, so that a call arrives where its slot is kept. */
public final class HomeSets implements Locator {
    /** How long callers may keep an answer. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(5);

    private final Supplier<Configuration> configuration;
    private final Supplier<FleetView> view;

    /**
     * Creates a locator.
     *
     * @param configuration the configuration in force
     * @param view the accepted view
     */
    public HomeSets(Supplier<Configuration> configuration, Supplier<FleetView> view) {
        this.configuration = configuration;
        this.view = view;
    }

    @Override
    public Optional<Located> locate(ServiceId service) {
        Configuration inForce = configuration.get();
        if (!inForce.services().containsKey(service)) {
            return Optional.empty();
        }
        FleetView current = view.get();
        List<Vm> candidates = Candidates.of(inForce, current);
        List<Upstream> upstreams = inForce.upstreams().values().stream()
                .filter(upstream -> upstream.service().equals(service))
                .filter(upstream -> inForce.isInService(upstream.availabilityZone(), upstream.vm()))
                .toList();
        Map<UpstreamId, VmId> keepers = KeeperAssignment.assign(upstreams, candidates);
        Map<VmId, Long> kept =
                keepers.values().stream().collect(Collectors.groupingBy(vm -> vm, Collectors.counting()));
        List<Located.Address> addresses = new ArrayList<>();
        for (Vm vm : candidates) {
            Long weight = kept.get(vm.id());
            if (weight != null) {
                addresses.add(new Located.Address(vm.id(), vm.callerAddress().orElseThrow(), weight.intValue()));
            }
        }
        Collections.shuffle(addresses);
        return Optional.of(new Located(addresses, TIME_TO_LIVE));
    }
}
