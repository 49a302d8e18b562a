package org.turmericspan.zones;

import java.util.Optional;
import org.turmericspan.ids.AvailabilityZoneId;

/** Zone in which a request looks for an upstream first. */
public final class ZonePreference {
    /** Leaves the choice of the zone to the cost of the upstreams. */
    public static final ZonePreference UNDECIDED = new ZonePreference(Optional.empty(), false);
    /** Keeps the request in the local zone while an upstream there can serve it in time. */
    public static final ZonePreference STAY = new ZonePreference(Optional.empty(), true);

    private final Optional<AvailabilityZoneId> remoteZone;
    private final boolean isStay;

    private ZonePreference(Optional<AvailabilityZoneId> remoteZone, boolean isStay) {
        this.remoteZone = remoteZone;
        this.isStay = isStay;
    }

    /**
     * Creates the preference of a request that leaves the local zone.
     *
     * @param zone zone whose upstreams are looked at first
     * @return the preference
     */
    public static ZonePreference leave(AvailabilityZoneId zone) {
        return new ZonePreference(Optional.of(zone), false);
    }

    /**
     * Returns the zone to which the request leaves.
     *
     * @return the zone; empty if it does not leave
     */
    public Optional<AvailabilityZoneId> remoteZone() {
        return remoteZone;
    }

    /**
     * Returns whether the request stays in the local zone.
     *
     * @return true if remote upstreams are only a last resort
     */
    public boolean isStay() {
        return isStay;
    }
}
