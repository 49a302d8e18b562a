package org.turmericspan.http;

/**
 * A complete HTTP request.
 *
 * @param method the method, in its original case
 * @param target the request target, not normalized
 * @param headers the header fields
 * @param body the body; not copied, must not be modified
 */
public record RequestMessage(String method, String target, HeaderList headers, byte[] body) {
    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Creates a GET request without a body.
     *
     * @param target the request target
     * @param host the value of the Host header
     * @return the request
     */
    public static RequestMessage get(String target, String host) {
        return new RequestMessage("GET", target, HeaderList.EMPTY.with("Host", host), EMPTY_BODY);
    }

    /**
     * Returns the path of the target.
     *
     * @return the target without the query
     */
    public String path() {
        int queryIndex = target.indexOf('?');
        return queryIndex < 0 ? target : target.substring(0, queryIndex);
    }
}
