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
}
