package org.turmericspan.forwarding;

import org.turmericspan.admission.WaitRefusal;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.ServiceId;

/** Metrics of requests and their attempts. */
public interface ForwardingMetrics {
    /**
     * Counts a response to a request whose service was chosen, from an upstream or from this node.
     *
     * @param service service of the request
     * @param status HTTP status of the response
     * @param latencyNanos time since the request arrived
     */
    void answered(ServiceId service, int status, long latencyNanos);

    /**
     * Counts a request that this node refused, in addition to {@link #answered} if its service was chosen before.
     *
     * @param code code in the local reply
     */
    void refused(ResultCode code);

    /**
     * Counts an attempt that is sent to an upstream.
     *
     * @param kind first, retry or hedge
     * @param ageNanos age of the observation on which the choice of the upstream is based
     */
    void attempted(AttemptKind kind, long ageNanos);

    /**
     * Counts a notice of an upstream about further requests.
     *
     * @param kind what it asks for
     */
    void noticed(NoticeKind kind);

    /**
     * Counts a request that begins to wait for an upstream in a waiting room.
     *
     * @param service service of the request
     */
    default void waitBegan(ServiceId service) {}

    /**
     * Counts a request that waits no more, whatever the reason.
     *
     * @param service service of the request
     * @param waitedNanos time for which it waited
     */
    default void waitEnded(ServiceId service, long waitedNanos) {}

    /**
     * Counts a request that a waiting room refused.
     *
     * @param service service of the request
     * @param reason reason of the refusal
     */
    default void waitRefused(ServiceId service, WaitRefusal.Reason reason) {}

    /** What an upstream asks for. */
    enum NoticeKind {
        /** It has begun to leave. */
        LEAVING,
        /** It has begun a pause. */
        PAUSE,
        /** It asks for a pause in a form that is not understood, which has no effect. */
        MALFORMED
    }

    /** Kind of an attempt, by what preceded it. */
    enum AttemptKind {
        /** The first attempt of a request. */
        FIRST,
        /** An attempt after an earlier one that ended without a response for the caller. */
        RETRY,
        /** An attempt in parallel with an earlier one that is late. */
        HEDGE
    }
}
