package org.turmericspan.http;

/** How a call over the client ended. */
public sealed interface CallEnd {
    /**
     * A whole response came.
     *
     * @param response the response
     */
    record Answered(ResponseMessage response) implements CallEnd {}

    /**
     * No byte of the request was sent.
     *
     * @param reason what prevented it
     * @param unreachable whether a new connection could not be made
     */
    record NotSent(String reason, boolean unreachable) implements CallEnd {}

    /**
     * The request was sent, and no whole response came. It may have run.
     *
     * @param reason what ended the wait
     */
    record Broken(String reason) implements CallEnd {}
}
