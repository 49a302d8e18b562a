package org.turmericspan.errors;

/** What is known about whether the upstream ran a request that got no answer of its own. */
public enum Ran {
    /** No byte of the request can have started work, or the upstream said that it refused. */
    NO,
    /** The upstream ran the request. */
    YES,
    /** The request may have run. */
    UNKNOWN
}
