package org.turmericspan.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import java.time.Duration;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.errors.Ran;

/** Writes the result of a call as an HTTP response. A refusal becomes JSON with the number of its result code. */
final class ResultEncoder {
    private static final String JSON = "application/json";

    private final ObjectMapper mapper = new ObjectMapper();

    void encode(Context context, String requestId, CallResult result) {
        if (result instanceof CallResult.Answered answered) {
            answered.headers().forEach(header -> addHeader(context, header));
            context.res().setHeader(CallerHeaders.REQUEST_ID, requestId);
            context.status(answered.status());
            context.result(answered.body().bytes());
        } else if (result instanceof CallResult.Refused refused) {
            context.header(CallerHeaders.REQUEST_ID, requestId);
            writeRefusal(context, refused);
        }
    }

    /** Writes a refusal whose code says whether the request ran, because any run token was looked up. */
    void writeRefusal(Context context, CallResult.Refused refused) {
        write(context, refused, refused.code().ran());
    }

    /**
     * Writes a refusal of a request whose run token was not looked up. If the request carries a run token, a duplicate
     * of it may have run, so the response reports {@code ran} as unknown.
     */
    void writeRefusalBeforeLookup(Context context, CallResult.Refused refused) {
        boolean duplicateMayHaveRun = context.header(CallerHeaders.RUN_TOKEN) != null;
        write(
                context,
                refused,
                duplicateMayHaveRun ? Ran.UNKNOWN : refused.code().ran());
    }

    private void write(Context context, CallResult.Refused refused, Ran ran) {
        refused.retryAfter()
                .ifPresent(delay -> context.header(CallerHeaders.RETRY_AFTER, Long.toString(secondsRoundedUp(delay))));
        context.status(refused.code().httpStatus());
        context.contentType(JSON);
        context.result(json(RefusalBody.of(refused, ran)));
    }

    String json(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The response body cannot be written as JSON", e);
        }
    }

    private static void addHeader(Context context, Header header) {
        context.res().addHeader(header.name(), header.value());
    }

    private static long secondsRoundedUp(Duration delay) {
        return delay.plusSeconds(1).minusNanos(1).toSeconds();
    }
}
