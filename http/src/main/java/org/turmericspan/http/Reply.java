package org.turmericspan.http;

import java.util.concurrent.ScheduledExecutorService;

/** Takes the one answer of a request. All methods are called on the connection's worker. */
public interface Reply {
    /**
     * Sends the answer. Later calls have no effect.
     *
     * @param response the answer
     */
    void send(ResponseMessage response);

    /**
     * Registers what happens when the caller closes its connection before the answer was sent.
     *
     * @param action runs at most once, on the connection's worker
     */
    void onCallerGone(Runnable action);

    /**
     * Returns the worker of the connection, on which all events of the request run one after the other.
     *
     * @return the worker
     */
    ScheduledExecutorService worker();
}
