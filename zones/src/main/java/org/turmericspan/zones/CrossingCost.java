package org.turmericspan.zones;

/**
 * Cost of serving a request in another zone.
 *
 * @param percent price of crossing in percent of the usual work of a request of average size
 * @param roundTripNanos round trip of the link between zones
 */
public record CrossingCost(double percent, long roundTripNanos) {
    private static final double PERCENT = 100.0;

    /** Returns the price as a multiple of the usual work. */
    double factor() {
        return percent / PERCENT;
    }
}
