package org.turmericspan.integrity;

import java.util.List;
import java.util.Optional;

/**
 * Tells the response to a request from late responses to earlier ones on the same connection, by an identifier that
 * the server copies from the request. A request without an identifier expects a response without one.
 */
public final class Correlation {
    private final Optional<String> echoHeader;
    private final Optional<String> requestId;

    /**
     * Creates the correlation of one request.
     *
     * @param echoHeader header that the server copies; empty if it copies none, so that each response is accepted
     * @param requestId value of that header in the request
     */
    public Correlation(Optional<String> echoHeader, Optional<String> requestId) {
        this.echoHeader = echoHeader;
        this.requestId = requestId;
    }

    /**
     * Returns the header that the server copies.
     *
     * @return the name; empty if the server copies none
     */
    public Optional<String> echoHeader() {
        return echoHeader;
    }

    /**
     * Returns whether a response belongs to the request.
     *
     * @param echoedIds all values of the header in the response
     * @return whether there is one, as in the request, and no other
     */
    public boolean matches(List<String> echoedIds) {
        if (echoHeader.isEmpty()) {
            return true;
        }
        for (String id : echoedIds) {
            if (requestId.isEmpty() || !id.equals(requestId.get())) {
                return false;
            }
        }
        return requestId.isEmpty() || !echoedIds.isEmpty();
    }
}
