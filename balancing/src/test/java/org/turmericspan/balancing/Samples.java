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
import org.turmericspan.tenancy.TenantDirectory;

/** Creates objects that several tests use. */
final class Samples {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final AvailabilityZoneId LOCAL_ZONE = new AvailabilityZoneId("zone-a");
    static final AvailabilityZoneId REMOTE_ZONE = new AvailabilityZoneId("zone-b");
    static final BalancingRules RULES = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));

    private Samples() {}

    static Route route(String prefix, WeightedService... services) {
        return new Route(
                new RouteId("r" + prefix),
                "shop.example",
                prefix,
                List.of(services),
                true,
                3,
                1_000_000_000L,
                300_000_000L,
                1,
                false);
    }

    static RoutingConfiguration configuration(long version, Route... routes) {
        ServiceSpec service = new ServiceSpec(SERVICE, "/health", 100, TimeUnit.SECONDS.toNanos(3), 8);
        return new RoutingConfiguration(
                version, List.of(routes), Map.of(SERVICE, service), RequestLimits.DEFAULT, TenantDirectory.NONE);
    }

    static Registration registration(String id, AvailabilityZoneId zone) {
        return new Registration(
                new UpstreamId(id), SERVICE, new SocketAddress("10.0.0.1", 80), zone, 3, false, 1, Long.MIN_VALUE / 2);
    }

    static Observation observation(long atNanos, int slowdownPercent) {
        return new Observation(atNanos, 0, 0, slowdownPercent, 0, true, true);
    }

    /** Creates criteria of the lowest priority without limits on cost and slowdown. */
    static SelectionCriteria criteria() {
        return new SelectionCriteria(new RouteId("r"), SERVICE, Set.of(), 2, Double.MAX_VALUE, Double.MAX_VALUE);
    }
}
