package org.turmericspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.balancing.ServingNotice;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tenancy.Identity;

/** Reads and writes the headers that callers, nodes and upstreams exchange. */
public interface CallProtocol {
    /**
     * Returns the identifier of a request, which appears in the log.
     *
     * @param headers headers of the request
     * @return the identifier, or empty when the caller sent none
     */
    Optional<String> requestId(HeaderList headers);

    /**
     * Returns the deadline that the caller set.
     *
     * @param headers headers of the request
     * @return milliseconds from the time at which the request was sent, or empty when the caller set none
     */
    OptionalLong deadlineMillis(HeaderList headers);

    /**
     * Reads where a caller may present a key.
     *
     * @param headers headers of the request
     * @return values of all such fields, in their order
     */
    List<String> credentials(HeaderList headers);

    /**
     * Builds the headers that tell an upstream who the caller is, in place of what the caller itself said of that. No
     * header shows the caller's key. Headers of an unchecked caller stay as they are.
     *
     * @param headers end-to-end headers of the caller's request
     * @param identity identity of the caller
     * @return the headers of which those of each attempt are built
     */
    HeaderList identifiedHeaders(HeaderList headers, Identity identity);

    /**
     * Builds the headers of an attempt.
     *
     * @param headers end-to-end headers of the request, with the identity of the caller
     * @param remainingMillis time until the deadline of the request
     * @param expected the only upstream that may run the request
     * @return the headers to send
     */
    HeaderList attemptHeaders(HeaderList headers, long remainingMillis, UpstreamId expected);

    /**
     * Returns whether a response proves that the upstream did not run the request, so that any request may be sent
     * again.
     *
     * @param response response of the upstream
     * @return true only if it proves this; false if the request ran or may have run
     */
    boolean provesNotExecuted(ResponseMessage response);

    /**
     * Returns whether callers take a status as the promise that their request has not run and never will.
     *
     * @param status status of a response
     * @return true when the status is one of those
     */
    boolean promisesNotRun(int status);

    /**
     * Returns whether another upstream than the one to which the request was addressed responded.
     *
     * @param response the response
     * @return true when that upstream rejected the request for this reason
     */
    boolean isWrongInstance(ResponseMessage response);

    /**
     * Returns whether a response carries the signature of the upstream that produced it. A successful response without
     * one is not forwarded.
     *
     * @param response the response
     * @return true when the signature is present
     */
    boolean isSigned(ResponseMessage response);

    /**
     * Reads the load that a response reports.
     *
     * @param response the response
     * @return empty when it reports none
     */
    Optional<LoadReport> reportedLoad(ResponseMessage response);

    /**
     * Reads what a response says about further requests of this node.
     *
     * @param response response of the upstream to a request or a health check
     * @return the notice; {@link ServingNotice#NONE} when it says nothing
     */
    ServingNotice servingNotice(ResponseMessage response);

    /**
     * Reads the identifier of the upstream that responded to a health check.
     *
     * @param response the response to a health check
     * @return empty when it reports none
     */
    Optional<String> instanceId(ResponseMessage response);

    /**
     * Reads how long the upstream remains cold.
     *
     * @param response the response to a health check
     * @return milliseconds, 0 when warm
     */
    long warmupRemainingMillis(ResponseMessage response);

    /**
     * Returns the name of the header that an upstream copies from the request to the response, which shows that the two
     * belong together.
     *
     * @return the header's name
     */
    String echoHeader();
}
