package org.turmericspan.standins.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * What a fleet is made of.
 *
 * @param zones names of the availability zones
 * @param nodes number of nodes, spread over the availability zones
 * @param services the services
 * @param isProxied whether the fault proxy stands before upstreams, peers and platform
 * @param nodeFlags further flags of each node
 */
public record FleetPlan(
        List<String> zones, int nodes, List<ServicePlan> services, boolean isProxied, List<String> nodeFlags) {
    private static final List<String> FOUR_ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-d");

    /** Copies the lists. */
    public FleetPlan {
        zones = List.copyOf(zones);
        services = List.copyOf(services);
        nodeFlags = List.copyOf(nodeFlags);
    }

    /**
     * Plans one service over four availability zones.
     *
     * @param nodes number of nodes
     * @param upstreams number of upstreams
     * @return a plan without fault proxy
     */
    public static FleetPlan simple(int nodes, int upstreams) {
        return new FleetPlan(
                FOUR_ZONES, nodes, List.of(new ServicePlan("ordering", upstreams, List.of())), false, List.of());
    }

    /**
     * Adds the fault proxy.
     *
     * @return a copy with the proxy
     */
    public FleetPlan proxied() {
        return new FleetPlan(zones, nodes, services, true, nodeFlags);
    }

    /**
     * Adds a service.
     *
     * @param service the service
     * @return a copy with it
     */
    public FleetPlan with(ServicePlan service) {
        List<ServicePlan> more = new ArrayList<>(services);
        more.add(service);
        return new FleetPlan(zones, nodes, more, isProxied, nodeFlags);
    }

    /**
     * Adds flags to each node.
     *
     * @param flags command line flags
     * @return a copy with them
     */
    public FleetPlan withNodeFlags(List<String> flags) {
        return new FleetPlan(zones, nodes, services, isProxied, flags);
    }

    /**
     * One service of the plan.
     *
     * @param name its name
     * @param upstreams number of its upstreams, spread over the availability zones
     * @param fields further fields of its configuration object, each as {@code "name": value}
     */
    public record ServicePlan(String name, int upstreams, List<String> fields) {
        /** Copies the list. */
        public ServicePlan {
            fields = List.copyOf(fields);
        }
    }
}
