package org.turmericspan.front;

import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletRequest;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;

/** Turns an HTTP request into a {@link CallRequest}, or refuses it with a numbered code. */
final class RequestDecoder {
    private static final String YES = "1";
    private static final int MAX_DEPTH = 9;

    private final ServiceCatalog catalog;
    private final MonotonicClock clock;

    RequestDecoder(ServiceCatalog catalog, MonotonicClock clock) {
        this.catalog = catalog;
        this.clock = clock;
    }

    CallRequest decode(Context context, String serviceName, String path) {
        try {
            return decodeChecked(context, serviceName, path);
        } catch (IllegalArgumentException e) {
            throw new BalancerException(ResultCode.MALFORMED_REQUEST, e.getMessage(), e);
        }
    }

    private CallRequest decodeChecked(Context context, String serviceName, String path) {
        ServiceId service = new ServiceId(serviceName);
        ServiceLimits limits = catalog.limits(service)
                .orElseThrow(() -> new BalancerException(ResultCode.NOT_CONFIGURED, "Service " + service));
        String method = context.req().getMethod();
        int depth =
                optional(context, CallerHeaders.DEPTH).map(Integer::parseInt).orElse(0);
        if (depth < 0 || depth >= MAX_DEPTH) {
            throw new BalancerException(ResultCode.TOO_DEEP, "Depth " + depth);
        }
        return new CallRequest(
                new RequestId(required(context, CallerHeaders.REQUEST_ID)),
                new OfficeId(required(context, CallerHeaders.OFFICE)),
                new CallerId(required(context, CallerHeaders.CALLER)),
                service,
                method,
                path,
                headers(context.req()),
                body(context.req(), limits.bodyLimitBytes()),
                clock.nowNanos() + deadline(context, limits).toNanos(),
                depth,
                YES.equals(context.header(CallerHeaders.RETRIED)),
                catalog.isIdempotent(service, method, path),
                optional(context, CallerHeaders.RUN_TOKEN).map(RunToken::parse));
    }

    private static Duration deadline(Context context, ServiceLimits limits) {
        Duration wanted = optional(context, CallerHeaders.DEADLINE_MS)
                .map(Long::parseLong)
                .map(Duration::ofMillis)
                .orElse(limits.defaultDeadline());
        if (wanted.isNegative() || wanted.isZero()) {
            throw new BalancerException(ResultCode.DEADLINE_BEFORE_SEND, "The request came with a passed deadline");
        }
        return wanted.compareTo(limits.longestDeadline()) < 0 ? wanted : limits.longestDeadline();
    }

    private static List<Header> headers(HttpServletRequest request) {
        List<Header> headers = new ArrayList<>();
        for (String name : Collections.list(request.getHeaderNames())) {
            if (!CallerHeaders.NOT_PASSED_ON.contains(name.toLowerCase(Locale.ROOT))) {
                Collections.list(request.getHeaders(name)).forEach(value -> headers.add(new Header(name, value)));
            }
        }
        return headers;
    }

    private static Payload body(HttpServletRequest request, int limitBytes) {
        try {
            byte[] bytes = request.getInputStream().readNBytes(limitBytes + 1);
            if (bytes.length > limitBytes) {
                throw new BalancerException(ResultCode.TOO_LARGE, "The body limit is " + limitBytes + " bytes");
            }
            return Payload.wrap(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String required(Context context, String name) {
        return optional(context, name)
                .orElseThrow(
                        () -> new BalancerException(ResultCode.MALFORMED_REQUEST, "Header " + name + " is missing"));
    }

    private static Optional<String> optional(Context context, String name) {
        return Optional.ofNullable(context.header(name));
    }
}
