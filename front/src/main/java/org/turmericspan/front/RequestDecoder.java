package org.turmericspan.front;

import jakarta.servlet.http.HttpServletRequest;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
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

/** Decodes the head of an HTTP request into a {@link RequestHead}, or refuses the request with a result code. */
final class RequestDecoder {
    private static final String YES = "1";
    private static final int MAX_DEPTH = 9;
    private static final int MAX_DIGITS = 9;
    private static final int DECIMAL_RADIX = 10;
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

    private final ServiceCatalog catalog;
    private final MonotonicClock clock;

    RequestDecoder(ServiceCatalog catalog, MonotonicClock clock) {
        this.catalog = catalog;
        this.clock = clock;
    }

    RequestHead decode(HttpServletRequest request) {
        try {
            return decodeChecked(request);
        } catch (IllegalArgumentException e) {
            throw new BalancerException(ResultCode.MALFORMED_REQUEST, e.getMessage(), e);
        }
    }

    static boolean hasBody(HttpServletRequest request) {
        return request.getContentLengthLong() > 0 || request.getHeader("Transfer-Encoding") != null;
    }

    private RequestHead decodeChecked(HttpServletRequest request) {
        HeaderFields fields = HeaderFields.of(request);
        RequestPath path = RequestPath.parse(request.getRequestURI(), request.getQueryString());
        ServiceId service = path.service();
        ServiceLimits limits = catalog.limits(service)
                .orElseThrow(() -> new BalancerException(ResultCode.NOT_CONFIGURED, "Service " + service));
        String method = request.getMethod();
        requireBodyAllowed(request, method, limits.bodyLimitBytes());
        return new RequestHead(
                new RequestId(fields.requiredControl(CallerHeaders.REQUEST_ID_LOWER)),
                new OfficeId(fields.requiredControl(CallerHeaders.OFFICE_LOWER)),
                new CallerId(fields.requiredControl(CallerHeaders.CALLER_LOWER)),
                path,
                method,
                fields.forwarded(),
                limits.bodyLimitBytes(),
                clock.nowNanos() + deadline(fields, limits).toNanos(),
                depth(fields),
                YES.equals(fields.control(CallerHeaders.RETRIED_LOWER)),
                catalog.isIdempotent(service, method, path.path()),
                token(fields));
    }

    private static void requireBodyAllowed(HttpServletRequest request, String method, int limitBytes) {
        if (METHODS_WITHOUT_BODY.contains(method) && hasBody(request)) {
            throw new IllegalArgumentException(method + " takes no body");
        }
        if (request.getContentLengthLong() > limitBytes) {
            throw BodyReader.tooLarge(limitBytes);
        }
    }

    private static int depth(HeaderFields fields) {
        int depth = (int) parseNumber(fields, CallerHeaders.DEPTH_LOWER, 0);
        if (depth >= MAX_DEPTH) {
            throw new BalancerException(ResultCode.TOO_DEEP, "The depth limit is " + MAX_DEPTH);
        }
        return depth;
    }

    private static Duration deadline(HeaderFields fields, ServiceLimits limits) {
        Duration requested = Duration.ofMillis(parseNumber(
                fields,
                CallerHeaders.DEADLINE_MS_LOWER,
                limits.defaultDeadline().toMillis()));
        if (requested.isZero()) {
            throw new BalancerException(ResultCode.DEADLINE_BEFORE_SEND, "The request came with a passed deadline");
        }
        return requested.compareTo(limits.maxDeadline()) < 0 ? requested : limits.maxDeadline();
    }

    private static Optional<RunToken> token(HeaderFields fields) {
        String text = fields.control(CallerHeaders.RUN_TOKEN_LOWER);
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(RunToken.parse(text));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("RunToken takes incarnation.epoch.nonce.caller", e);
        }
    }

    /** Parses one to nine decimal digits and rejects everything else, signs and spaces included. */
    private static long parseNumber(HeaderFields fields, String name, long fallback) {
        String text = fields.control(name);
        if (text == null) {
            return fallback;
        }
        long number = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit >= DECIMAL_RADIX) {
                throw notANumber(name);
            }
            number = number * DECIMAL_RADIX + digit;
        }
        if (text.isEmpty() || text.length() > MAX_DIGITS) {
            throw notANumber(name);
        }
        return number;
    }

    private static IllegalArgumentException notANumber(String name) {
        return new IllegalArgumentException("Header " + name + " takes 1 to " + MAX_DIGITS + " digits");
    }
}
