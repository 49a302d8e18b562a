package org.turmericspan.balancing;

/**
 * What a response of an upstream says about further requests of this node.
 *
 * @param leaving whether the upstream shuts down and must get no new requests
 * @param pauseNanos time for which the upstream wants no requests; 0 when it asks for none
 * @param malformed whether the response asks for a pause in a form that is not understood, which has no effect
 */
public record ServingNotice(boolean leaving, long pauseNanos, boolean malformed) {
    /** The notice of a response that says nothing. */
    public static final ServingNotice NONE = new ServingNotice(false, 0, false);
}
