package org.turmericspan.tenancy;

/**
 * Cap on the requests of a tenant through all nodes together.
 *
 * @param perSecond requests per second in the long run; 0 when there is no cap
 * @param burst requests that may come at once in addition, after a time with fewer
 */
public record RequestCap(double perSecond, double burst) {
    /** The cap of a tenant that has none. */
    public static final RequestCap UNLIMITED = new RequestCap(0, 0);

    /** Checks the numbers. */
    public RequestCap {
        if (!(perSecond >= 0) || !(burst >= 0) || Double.isInfinite(perSecond) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("a cap takes a rate and a burst of 0 or more");
        }
    }

    /**
     * Returns whether there is a cap.
     *
     * @return false when any number of requests may be served
     */
    public boolean isLimited() {
        return perSecond > 0;
    }
}
