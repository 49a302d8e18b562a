package org.turmericspan.bench.load;

/** How one request ended for its caller. */
public enum CallOutcome {
    /** The whole right answer came. */
    SERVED,
    /** The balancer said that the request was not run. */
    REFUSED,
    /** The balancer said that the outcome is unknown. */
    UNKNOWN,
    /** No answer of the balancer came. */
    FAILED,
    /** An answer came that was another caller's. */
    CROSSED,
    /** An answer came that looked whole and was not. */
    SHORT
}
