package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tenancy.TenantDirectory;

/** Immutable routing configuration. A newer version replaces it as a whole. */
public final class RoutingConfiguration {
    private final long version;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<ServiceId, ServiceSpec> services;
    private final RequestLimits limits;
    private final TenantDirectory tenants;

    /**
     * Creates a configuration.
     *
     * @param version number that increases with each publication
     * @param routes routes of all hosts, in any order
     * @param services all services by name
     * @param limits limits on the requests of callers
     * @param tenants tenants, whose keys callers present
     */
    public RoutingConfiguration(
            long version,
            List<Route> routes,
            Map<ServiceId, ServiceSpec> services,
            RequestLimits limits,
            TenantDirectory tenants) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = limits;
        this.tenants = tenants;
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = (first, second) ->
                Integer.compare(second.prefix().length(), first.prefix().length());
        routesByHost.values().forEach(routesOfHost -> routesOfHost.sort(longestFirst));
    }

    /**
     * Finds the route of a request: the one of the host with the longest prefix that matches the path.
     *
     * @param host host without a port
     * @param path path without its query
     * @return the route; empty when none matches
     */
    public Optional<Route> findRoute(String host, String path) {
        List<Route> routes = routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
        return routes.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
    }

    /**
     * Returns the version, by which nodes tell which of two configurations is newer.
     *
     * @return number that increases with each publication
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on requests.
     *
     * @return limits that apply to all routes
     */
    public RequestLimits limits() {
        return limits;
    }

    /**
     * Returns the tenants.
     *
     * @return {@link TenantDirectory#NONE} when callers need no keys
     */
    public TenantDirectory tenants() {
        return tenants;
    }

    /**
     * Looks up a service.
     *
     * @param service name of the service
     * @return its configuration; empty when the service is not configured
     */
    public Optional<ServiceSpec> service(ServiceId service) {
        return Optional.ofNullable(services.get(service));
    }
}
