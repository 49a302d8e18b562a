package org.turmericspan.zones;

import java.util.List;

/**
 * What a node tells of one service.
 *
 * @param serviceHash stable hash of the identifier of the service
 * @param ownDemandSlots demand of the callers of this node alone, in slots
 * @param zones newest known report of each zone; that of the sender's zone is its own
 */
public record ServiceSummary(long serviceHash, double ownDemandSlots, List<ZoneReport> zones) {
    /** Copies the reports. */
    public ServiceSummary {
        zones = List.copyOf(zones);
    }
}
