package org.turmericspan.http;

/** Outcome of a call made by the client. */
public sealed interface CallEnd {
    /**
     * A complete response was received.
     *
     * @param response the response
     */
    record Answered(ResponseMessage response) implements CallEnd {}

    /**
     * No byte of the request was sent: the connection was closed before use, or could not be established.
     *
     * @param reason why the request was not sent
     */
    record NotSent(String reason) implements CallEnd {}

    /**
     * The request was sent, but no complete response was received. The server may have executed the request.
     *
     * @param reason why no complete response was received
     */
    record Broken(String reason) implements CallEnd {}
}
