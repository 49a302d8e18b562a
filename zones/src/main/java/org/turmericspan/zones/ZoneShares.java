package org.turmericspan.zones;

import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;

/** Tells for a request whether it leaves the local zone, and to which zone. */
@FunctionalInterface
public interface ZoneShares {
    /**
     * Returns the zone preference of a request. Called under the lock of the upstream table; must not call it.
     *
     * @param service service of the request
     * @param route route of the request
     * @param draw number from 0 to 1, exclusive, that is evenly distributed over the requests and the same for all
     *     attempts of one
     * @return the preference
     */
    ZonePreference preference(ServiceId service, RouteId route, double draw);

    /**
     * Returns shares that leave every choice to the cost of the upstreams.
     *
     * @return the shares of a node without zone sharing
     */
    static ZoneShares none() {
        return (service, route, draw) -> ZonePreference.UNDECIDED;
    }
}
