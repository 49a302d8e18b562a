package org.turmericspan.http;

import java.util.concurrent.ScheduledExecutorService;

/** Sends the response to one request. All methods are called on the worker of the connection. */
public interface Reply {
    /**
     * Sends the response. Later calls have no effect.
     *
     * @param response the response
     */
    void send(ResponseMessage response);

    /**
     * Registers an action for a caller that disconnects before the response is sent. It replaces an earlier one.
     *
     * @param action runs at most once, on the worker of the connection
     */
    void onCallerGone(Runnable action);

    /**
     * Returns how long the request has waited on its connection since it was received.
     *
     * @return time in nanoseconds, which counts towards the deadline of the request
     */
    default long waitedNanos() {
        return 0;
    }

    /**
     * Returns the worker of the connection, which runs all events of the request sequentially.
     *
     * @return the worker
     */
    ScheduledExecutorService worker();

    /**
     * Returns the address of the caller, without a port.
     *
     * @return the address; empty if it is unknown
     */
    default String callerAddress() {
        return "";
    }
}
