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
     * No byte of the request was sent: any pooled connection was closed before use, and no new one could be used.
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
