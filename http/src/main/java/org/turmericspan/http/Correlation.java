package org.turmericspan.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;

/**
 * Tells the response to a request from late responses to earlier ones on the same connection, by an identifier that
 * the server copies from the request. A request without an identifier expects a response without one.
 */
final class Correlation {
    private final Optional<String> headerName;
    private final Optional<String> requestId;

    /**
     * Creates the correlation of one request.
     *
     * @param headerName header that the server copies; empty if it copies none, so that each response is accepted
     * @param request headers of the request
     */
    Correlation(Optional<String> headerName, HeaderList request) {
        this.headerName = headerName;
        this.requestId = headerName.isEmpty() ? Optional.empty() : request.first(headerName.get());
    }

    /** Returns whether a response with these headers belongs to the request. */
    boolean matches(HttpHeaders response) {
        if (headerName.isEmpty()) {
            return true;
        }
        List<String> received = response.getAll(headerName.get());
        for (String id : received) {
            if (requestId.isEmpty() || !id.equals(requestId.get())) {
                return false;
            }
        }
        return requestId.isEmpty() || !received.isEmpty();
    }
}
