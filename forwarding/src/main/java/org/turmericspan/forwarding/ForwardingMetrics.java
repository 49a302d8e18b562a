package org.turmericspan.forwarding;

import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.ServiceId;

/** Counts what happened to requests. */
public interface ForwardingMetrics {
    /**
     * Counts a request that was answered, by an upstream or by this node.
     *
     * @param service service the request goes to
     * @param status status of the answer
     * @param latencyNanos time since the request arrived
     */
    void answered(ServiceId service, int status, long latencyNanos);

    /**
     * Counts a request that this node answered itself.
     *
     * @param code why
     */
    void refused(ResultCode code);

    /**
     * Counts an attempt at an upstream.
     *
     * @param kind first, retry or hedge
     * @param ageNanos age of the observation on which the choice rests
     */
    void attempted(AttemptKind kind, long ageNanos);

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
