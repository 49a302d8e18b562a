package org.turmericspan.bench.load;

/** How one request ended for its caller. */
public enum CallOutcome {
    /** The complete and correct response arrived. */
    SERVED,
    /** The load balancer reported that the request was not run. */
    REFUSED,
    /** The load balancer reported that the outcome is unknown. */
    UNKNOWN,
    /** No response of the load balancer arrived. */
    FAILED,
    /** A response to another request arrived. */
    CROSSED,
    /** A truncated response arrived that looked complete. */
    SHORT
}
