package org.turmericspan.forwarding;

/** Counts what happened to requests. */
public interface ForwardingOutcomes {
    /**
     * Counts a request that was answered.
     *
     * @param status status of the answer
     * @param latencyNanos time since the request arrived
     */
    void answered(int status, long latencyNanos);

    /**
     * Counts an attempt at an upstream.
     *
     * @param kind first, retry or hedge
     */
    void attempted(AttemptKind kind);

    /** Why an attempt is made. */
    enum AttemptKind {
        /** The first attempt of a request. */
        FIRST,
        /** A further attempt after one that ended without an answer for the caller. */
        RETRY,
        /** A further attempt beside one that is late. */
        HEDGE
    }
}
