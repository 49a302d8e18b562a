package org.turmericspan.front;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.time.Duration;
import java.util.Locale;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.Ran;

/**
 * Refusal of a request, as JSON.
 *
 * @param code stable number of the result code
 * @param ran whether the request ran: no, yes or unknown
 * @param message fixed sentence of the result code
 * @param detail details of this refusal
 * @param retryAfterMillis time to wait before a retry, in milliseconds; left out if there is no advice
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record RefusalBody(
        @JsonProperty("code") int code,
        @JsonProperty("ran") String ran,
        @JsonProperty("message") String message,
        @JsonProperty("detail") String detail,
        @JsonProperty("retry_after_ms") Long retryAfterMillis) {
    static RefusalBody of(CallResult.Refused refused, Ran ran) {
        return new RefusalBody(
                refused.code().number(),
                ran.name().toLowerCase(Locale.ROOT),
                refused.code().sentence(),
                refused.detail(),
                refused.retryAfter().map(Duration::toMillis).orElse(null));
    }
}
