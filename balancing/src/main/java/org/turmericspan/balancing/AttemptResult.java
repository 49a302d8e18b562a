package org.turmericspan.balancing;

/** How an attempt at an upstream ended. */
public enum AttemptResult {
    /** A complete response that is not a failure. */
    SUCCESS,
    /** A complete response that reports a server error. */
    SERVER_ERROR,
    /** The upstream rejected the request for lack of capacity and proved that it did not run it. */
    SHED,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** A different upstream listens at the address. */
    WRONG_INSTANCE,
    /** The connection closed, or malformed bytes arrived, before the response was complete. */
    BROKEN,
    /** The response is later than the expected latency allows; it may still arrive. */
    OVERDUE,
    /** The attempt was cancelled because its caller disconnected or another attempt was faster. */
    CANCELLED
}
