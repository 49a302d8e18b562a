package org.turmericspan.http;

/**
 * A whole request.
 *
 * @param method method as it was spelled
 * @param target request target as it was spelled
 * @param headers header lines
 * @param body the body; not copied, must not be changed
 */
public record RequestMessage(String method, String target, HeaderList headers, byte[] body) {
    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates a request without a body.
     *
     * @param target request target
     * @param host value of the host header
     * @return the request
     */
    public static RequestMessage get(String target, String host) {
        return new RequestMessage("GET", target, HeaderList.EMPTY.with("Host", host), NO_BODY);
    }

    /**
     * Returns the path of the target.
     *
     * @return the target without its query
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
