package org.turmericspan.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import java.time.Duration;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.errors.Ran;

/** Writes a result as an HTTP response. A refusal is JSON with its numbered code. */
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
            refuse(context, refused);
        }
    }

    /** Writes a refusal of a request that was looked up. */
    void refuse(Context context, CallResult.Refused refused) {
        write(context, refused, refused.code().ran());
    }

    /**
     * Writes a refusal of a request that was not looked up. When it carries a run token, another copy of it may have
     * run, so nothing is known of whether it ran.
     */
    void refuseEarly(Context context, CallResult.Refused refused) {
        boolean otherCopiesMayRun = context.header(CallerHeaders.RUN_TOKEN) != null;
        write(context, refused, otherCopiesMayRun ? Ran.UNKNOWN : refused.code().ran());
    }

    private void write(Context context, CallResult.Refused refused, Ran ran) {
        refused.retryAfter()
                .ifPresent(span -> context.header(CallerHeaders.RETRY_AFTER, Long.toString(wholeSeconds(span))));
        context.status(refused.code().httpStatus());
        context.contentType(JSON);
        context.result(json(RefusalBody.of(refused, ran)));
    }

    String json(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Every value of the front end can be written as JSON", e);
        }
    }

    private static void addHeader(Context context, Header header) {
        context.res().addHeader(header.name(), header.value());
    }

    private static long wholeSeconds(Duration span) {
        return span.plusSeconds(1).minusNanos(1).toSeconds();
    }
}
