package org.turmericspan.errors;

/** Whether an upstream executed a request for which the balancer sends a local reply. */
public enum Ran {
    /** The request was not executed: no upstream can have started on it, or the upstream reported that it refused. */
    NO,
    /** The request was executed. */
    YES,
    /** The request may have been executed. */
    UNKNOWN
}
