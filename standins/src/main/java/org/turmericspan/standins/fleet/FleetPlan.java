package org.turmericspan.standins.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Describes the processes and services of a fleet.
 *
 * @param zones names of the availability zones
 * @param nodes number of nodes, spread over the availability zones
 * @param services the services
 * @param isProxied whether nodes reach upstreams, peers and the platform through the fault proxy
 * @param nodeFlags additional command line flags of each node
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
     * Describes a fleet with the service {@code ordering} over four availability zones.
     *
     * @param nodes number of nodes
     * @param upstreams number of upstreams
     * @return a plan without the fault proxy
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
     * @return a copy with the service
     */
    public FleetPlan with(ServicePlan service) {
        List<ServicePlan> extended = new ArrayList<>(services);
        extended.add(service);
        return new FleetPlan(zones, nodes, extended, isProxied, nodeFlags);
    }

    /**
     * Replaces the additional flags of each node.
     *
     * @param flags command line flags
     * @return a copy with these flags
     */
    public FleetPlan withNodeFlags(List<String> flags) {
        return new FleetPlan(zones, nodes, services, isProxied, flags);
    }

    /**
     * One service of the plan.
     *
     * @param name name of the service
     * @param upstreams number of its upstreams, spread over the availability zones
     * @param fields additional fields of its configuration object, each as {@code "name": value}
     */
    public record ServicePlan(String name, int upstreams, List<String> fields) {
        /** Copies the list. */
        public ServicePlan {
            fields = List.copyOf(fields);
        }
    }
}
