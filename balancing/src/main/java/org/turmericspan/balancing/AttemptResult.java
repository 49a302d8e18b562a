package org.turmericspan.balancing;

/** How an attempt at an upstream ended. */
public enum AttemptResult {
    /** A whole answer that is not a failure. */
    SUCCESS,
    /** A whole answer with a failure of the upstream's own. */
    SERVER_ERROR,
    /** The upstream proved that it did not run the request because it has no room. */
    SHED,
    /** No connection could be made. */
    CONNECT_FAILED,
    /** Another upstream listens at the address. */
    WRONG_INSTANCE,
    /** The connection ended, or the bytes made no sense, before a whole answer came. */
    BROKEN,
    /** No answer has come in the time in which nearly all come; it may still come. */
    OVERDUE,
    /** The attempt was given up because its caller left or another attempt was faster. */
    CANCELLED
}
