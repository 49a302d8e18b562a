package org.turmericspan.http;

import java.nio.charset.StandardCharsets;

/**
 * A whole response.
 *
 * @param status status code
 * @param headers header lines
 * @param body the body; not copied, must not be changed
 */
public record ResponseMessage(int status, HeaderList headers, byte[] body) {
    private static final int LEAST_SUCCESS = 200;
    private static final int MOST_SUCCESS = 299;
    private static final int LEAST_FAILURE = 500;
    private static final int MOST_FAILURE = 599;

    /**
     * Creates a response with a text.
     *
     * @param status status code
     * @param contentType type of the text
     * @param text the body
     * @return the response
     */
    public static ResponseMessage text(int status, String contentType, String text) {
        return new ResponseMessage(
                status, HeaderList.EMPTY.with("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Tells whether the status is a success.
     *
     * @return true from 200 to 299
     */
    public boolean isSuccess() {
        return status >= LEAST_SUCCESS && status <= MOST_SUCCESS;
    }

    /**
     * Tells whether the status is a failure of the server.
     *
     * @return true from 500 to 599
     */
    public boolean isServerError() {
        return status >= LEAST_FAILURE && status <= MOST_FAILURE;
    }
}
