package org.turmericspan.zones;

import java.util.List;

/** Local zone as this node sees it. Called without a lock. */
public interface LocalZone {
    /**
     * Lists the room of the services.
     *
     * @return one element for each service whose room this node knows
     */
    List<ServiceRoom> rooms();

    /**
     * Returns the number of nodes of the zone that are alive.
     *
     * @return number of nodes, with this one
     */
    int nodes();
}
