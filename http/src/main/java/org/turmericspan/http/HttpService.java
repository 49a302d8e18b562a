package org.turmericspan.http;

/** Answers requests. */
@FunctionalInterface
public interface HttpService {
    /**
     * Handles a request without blocking. It is called on the worker of the connection.
     *
     * @param request the whole request
     * @param reply takes the one answer, now or later
     */
    void handle(RequestMessage request, Reply reply);
}
