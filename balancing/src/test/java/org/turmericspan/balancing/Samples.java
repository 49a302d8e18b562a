package org.turmericspan.balancing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Objects that tests share. */
final class Samples {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final AvailabilityZoneId HOME = new AvailabilityZoneId("zone-a");
    static final AvailabilityZoneId AWAY = new AvailabilityZoneId("zone-b");
    static final BalancingRules RULES = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));

    private Samples() {}

    static Route route(String prefix, WeightedService... backends) {
        return new Route(
                new RouteId("r" + prefix),
                "shop.example",
                prefix,
                List.of(backends),
                true,
                3,
                1_000_000_000L,
                300_000_000L,
                1);
    }

    static RoutingConfiguration configuration(long version, Route... routes) {
        ServiceSpec service = new ServiceSpec(SERVICE, "/health", 100, TimeUnit.SECONDS.toNanos(3), 8);
        return new RoutingConfiguration(version, List.of(routes), Map.of(SERVICE, service), RequestLimits.DEFAULT);
    }

    static Registration registration(String id, AvailabilityZoneId zone) {
        return new Registration(
                new UpstreamId(id), SERVICE, new SocketAddress("10.0.0.1", 80), zone, 3, false, 1, Long.MIN_VALUE / 2);
    }

    static Observation observation(long atNanos, int slowPercent) {
        return new Observation(atNanos, 0, 0, slowPercent, 0, true, true);
    }

    static SelectionCriteria choice() {
        return new SelectionCriteria(new RouteId("r"), SERVICE, Set.of(), 2, Double.MAX_VALUE, Double.MAX_VALUE);
    }
}
