package org.turmericspan.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;

/** Writes errors of the HTTP library as JSON with a result code, like every other refusal. */
final class HttpErrorHandler extends ErrorHandler {
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TIMEOUT = 408;
    private static final int BODY_TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final HttpField JSON = new HttpField(HttpHeader.CONTENT_TYPE, "application/json");

    private final ObjectMapper mapper = new ObjectMapper();

    static ResultCode codeOf(int status) {
        return switch (status) {
            case NOT_FOUND -> ResultCode.NOT_CONFIGURED;
            case METHOD_NOT_ALLOWED -> ResultCode.METHOD_NOT_ALLOWED;
            case TIMEOUT -> ResultCode.SLOW_REQUEST;
            case BODY_TOO_LARGE, URI_TOO_LONG, HEADERS_TOO_LARGE -> ResultCode.TOO_LARGE;
            default -> status >= FIRST_SERVER_ERROR ? ResultCode.INTERNAL : ResultCode.MALFORMED_REQUEST;
        };
    }

    static CallResult.Refused refusal(int status) {
        return CallResult.Refused.of(codeOf(status), "HTTP status " + status);
    }

    @Override
    public boolean errorPageForMethod(String method) {
        return true;
    }

    @Override
    protected void generateResponse(
            Request request, Response response, int status, String message, Throwable cause, Callback callback) {
        CallResult.Refused refused = refusal(status);
        response.setStatus(refused.code().httpStatus());
        response.getHeaders().put(JSON);
        boolean duplicateMayHaveRun = request.getHeaders().contains(CallerHeaders.RUN_TOKEN);
        Ran ran = duplicateMayHaveRun ? Ran.UNKNOWN : refused.code().ran();
        response.write(true, ByteBuffer.wrap(json(RefusalBody.of(refused, ran))), callback);
    }

    private byte[] json(RefusalBody body) {
        try {
            return mapper.writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The refusal cannot be written as JSON", e);
        }
    }
}
