package org.turmericspan.forwarding;

import org.turmericspan.errors.ResultCode;

/** How the requests of a node wait for an upstream, and when the callers of refused ones return. */
public interface UpstreamWaits {
    /**
     * Finds an upstream for the next attempt of a request, or refuses it.
     *
     * @param search the request, whose listener is called once unless the search is ended
     */
    void find(UpstreamSearch search);

    /**
     * Ends a search without a result.
     *
     * @param search search of a request that has ended
     */
    void end(UpstreamSearch search);

    /**
     * Records that an attempt of a request has started.
     *
     * @param search the request
     */
    void attemptStarted(UpstreamSearch search);

    /**
     * Records that an attempt of a request has ended.
     *
     * @param search the request
     */
    void attemptEnded(UpstreamSearch search);

    /**
     * Returns when the caller of a refused request is to return.
     *
     * @param code reason of the refusal
     * @param search the request
     * @return delay in milliseconds; 0 if another node can serve the request at once
     */
    long retryAfterMillis(ResultCode code, UpstreamSearch search);

    /**
     * Returns when the caller of a request is to return that came before this node had a configuration.
     *
     * @param requestId identifier of the request
     * @param usualMillis usual delay
     * @return delay in milliseconds
     */
    long notReadyRetryAfterMillis(String requestId, long usualMillis);
}
