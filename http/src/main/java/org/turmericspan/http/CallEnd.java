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
     * No byte of the request was sent: a kept connection was closed, and no new one could be made.
     *
     * @param reason what prevented it
     */
    record NotSent(String reason) implements CallEnd {}

    /**
     * The request was sent, and no whole response came. It may have run.
     *
     * @param reason what ended the wait
     */
    record Broken(String reason) implements CallEnd {}
}
