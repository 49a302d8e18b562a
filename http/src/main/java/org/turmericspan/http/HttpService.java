package org.turmericspan.http;

/** Handles the requests that a listener receives. */
@FunctionalInterface
public interface HttpService {
    /**
     * Handles a request without blocking. Called on the worker of the connection.
     *
     * @param request the complete request
     * @param reply sends the response, during this call or later
     */
    void handle(RequestMessage request, Reply reply);

    /**
     * Returns whether a request may run more than once, so that it may start before the responses to earlier requests
     * of its connection are sent. Asked only for requests on whose connection others were sent ahead.
     *
     * @param request the complete request
     * @return false unless the service knows that it may
     */
    default boolean isRepeatable(RequestMessage request) {
        return false;
    }

    /**
     * Returns whether there is room for a repeatable request beside the earlier ones of its connection. Without room it
     * starts when they have their responses.
     *
     * @param request the complete request
     * @return true if it may start now
     */
    default boolean hasRoom(RequestMessage request) {
        return true;
    }
}
