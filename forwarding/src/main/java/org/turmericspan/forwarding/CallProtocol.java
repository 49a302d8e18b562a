package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.OptionalLong;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;

/** Names and forms of the headers that callers, nodes and upstreams exchange. */
public interface CallProtocol {
    /**
     * Returns the identifier of a request.
     *
     * @param headers headers of the request
     * @return empty when the caller sent none
     */
    Optional<String> requestId(HeaderList headers);

    /**
     * Returns how long the caller waits.
     *
     * @param headers headers of the request
     * @return milliseconds from when the request was sent; empty when not stated
     */
    OptionalLong deadlineMillis(HeaderList headers);

    /**
     * Writes the headers of an attempt.
     *
     * @param headers end-to-end headers of the caller's request
     * @param leftMillis time the upstream may take
     * @param expected upstream that alone may run the request
     * @return the headers to send
     */
    HeaderList attemptHeaders(HeaderList headers, long leftMillis, UpstreamId expected);

    /**
     * Tells whether an upstream proved that it did not run the request.
     *
     * @param response its response
     * @return true only with proof
     */
    boolean provesNotExecuted(ResponseMessage response);

    /**
     * Tells whether another upstream than the expected one answered.
     *
     * @param response the response
     * @return true when the request was turned away for that reason
     */
    boolean isWrongInstance(ResponseMessage response);

    /**
     * Tells whether a response bears the mark of the upstream that made it. A success without it is spoiled.
     *
     * @param response the response
     * @return whether the mark is there
     */
    boolean isSigned(ResponseMessage response);

    /**
     * Reads the load that a response states.
     *
     * @param response the response
     * @return empty when it states none
     */
    Optional<LoadReport> reportedLoad(ResponseMessage response);

    /**
     * Reads the identifier of the upstream that answered a health check.
     *
     * @param response the response
     * @return empty when it states none
     */
    Optional<String> instanceId(ResponseMessage response);

    /**
     * Reads how long the upstream says it stays cold.
     *
     * @param response the response to a health check
     * @return milliseconds, 0 when warm
     */
    long warmupRemainingMillis(ResponseMessage response);

    /**
     * Names the header that a response repeats from its request.
     *
     * @return the header's name
     */
    String echoHeader();
}
