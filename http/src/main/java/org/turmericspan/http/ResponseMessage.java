package org.turmericspan.http;

import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the header fields
 * @param body the body; not copied, must not be modified
 */
public record ResponseMessage(int status, HeaderList headers, byte[] body) {
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MAX_SUCCESS_STATUS = 299;
    private static final int MIN_CLIENT_ERROR_STATUS = 400;
    private static final int MAX_CLIENT_ERROR_STATUS = 499;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MAX_SERVER_ERROR_STATUS = 599;

    /**
     * Creates a response with a text body, encoded as UTF-8.
     *
     * @param status the status code
     * @param contentType the value of the Content-Type header
     * @param text the body
     * @return the response
     */
    public static ResponseMessage text(int status, String contentType, String text) {
        return new ResponseMessage(
                status, HeaderList.EMPTY.with("Content-Type", contentType), text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether the status is successful.
     *
     * @return true for 200 to 299
     */
    public boolean isSuccess() {
        return status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
    }

    /**
     * Returns whether the status is a client error.
     *
     * @return true for 400 to 499
     */
    public boolean isClientError() {
        return status >= MIN_CLIENT_ERROR_STATUS && status <= MAX_CLIENT_ERROR_STATUS;
    }

    /**
     * Returns whether the status is a server error.
     *
     * @return true for 500 to 599
     */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS && status <= MAX_SERVER_ERROR_STATUS;
    }
}
