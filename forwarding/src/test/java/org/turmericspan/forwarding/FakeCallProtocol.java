package org.turmericspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.balancing.ServingNotice;
import org.turmericspan.http.HeaderField;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tenancy.Identity;

/** Call protocol with one plain header for each item; no response reports warm-up, or a load that can be read. */
final class FakeCallProtocol implements CallProtocol {
    static final String REMAINING_MILLIS = "left";
    static final String EXPECTED = "expected";
    static final String KEY = "key";
    static final String TENANT = "tenant";

    @Override
    public Optional<String> requestId(HeaderList headers) {
        return headers.first("id");
    }

    @Override
    public OptionalLong deadlineMillis(HeaderList headers) {
        return headers.first(REMAINING_MILLIS)
                .map(text -> OptionalLong.of(Long.parseLong(text)))
                .orElse(OptionalLong.empty());
    }

    @Override
    public List<String> credentials(HeaderList headers) {
        return headers.fields().stream()
                .filter(field -> field.name().equals(KEY))
                .map(HeaderField::value)
                .toList();
    }

    @Override
    public HeaderList identifiedHeaders(HeaderList headers, Identity identity) {
        if (identity instanceof Identity.Unchecked) {
            return headers;
        }
        HeaderList withoutKey = headers.without(KEY).without(TENANT);
        return identity instanceof Identity.Known known
                ? withoutKey.with(TENANT, known.tenant().id().value())
                : withoutKey;
    }

    @Override
    public HeaderList attemptHeaders(HeaderList headers, long remainingMillis, UpstreamId expected) {
        return headers.with(REMAINING_MILLIS, Long.toString(remainingMillis)).with(EXPECTED, expected.value());
    }

    @Override
    public boolean provesNotExecuted(ResponseMessage response) {
        return response.headers().first("not-run").isPresent();
    }

    @Override
    public boolean promisesNotRun(int status) {
        return status == 408 || status == 429 || status == 503;
    }

    @Override
    public boolean isWrongInstance(ResponseMessage response) {
        if (response.headers().first("fault").isPresent()) {
            throw new IllegalStateException("The protocol has a fault.");
        }
        return response.status() == 421;
    }

    @Override
    public boolean isSigned(ResponseMessage response) {
        return response.headers().first("signed").isPresent();
    }

    @Override
    public Optional<LoadReport> reportedLoad(ResponseMessage response) {
        if (response.headers().first("load").isPresent()) {
            throw new IllegalStateException("The reader of the load has a fault.");
        }
        return Optional.empty();
    }

    @Override
    public ServingNotice servingNotice(ResponseMessage response) {
        long pauseMillis =
                response.headers().first("pause").map(Long::parseLong).orElse(0L);
        return new ServingNotice(
                response.headers().first("leaving").isPresent(),
                TimeUnit.MILLISECONDS.toNanos(pauseMillis),
                response.headers().first("odd").isPresent());
    }

    @Override
    public Optional<String> instanceId(ResponseMessage response) {
        return response.headers().first("instance");
    }

    @Override
    public long warmupRemainingMillis(ResponseMessage response) {
        return 0;
    }

    @Override
    public String echoHeader() {
        return "id";
    }
}
