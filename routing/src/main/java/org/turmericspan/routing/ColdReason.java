package org.turmericspan.routing;

/** Why an upstream was last set cold. */
public enum ColdReason {
    /** It is new to this keeper, and nobody handed it over. */
    NEW,
    /** It came back into service. */
    RETURNED,
    /** It told a new incarnation. */
    NEW_INCARNATION,
    /** It refused a connection. */
    CONNECTION_REFUSED,
    /** A connection broke under a request. */
    CONNECTION_LOST,
    /** It said that it is cold. */
    REPORTED_COLD,
    /** It became many times slower. */
    LATENCY_JUMP,
    /** The keeper before said that it was cold. */
    HANDED_OVER_COLD
}
