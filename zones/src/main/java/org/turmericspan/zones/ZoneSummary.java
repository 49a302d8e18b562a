package org.turmericspan.zones;

import java.util.List;

/**
 * What a node tells other nodes of demand and room. Bounded in size.
 *
 * @param services at most {@link #MAX_SERVICES} services, by turns when there are more
 */
public record ZoneSummary(List<ServiceSummary> services) {
    /** Maximum number of services in a summary. */
    public static final int MAX_SERVICES = 16;
    /** Maximum number of zones that are told of for a service. */
    public static final int MAX_ZONES = 8;
    /** Summary of a node that tells nothing. */
    public static final ZoneSummary NONE = new ZoneSummary(List.of());

    /** Copies the services. */
    public ZoneSummary {
        services = List.copyOf(services);
    }

    /**
     * Returns whether the summary tells nothing.
     *
     * @return true without services
     */
    public boolean isEmpty() {
        return services.isEmpty();
    }
}
