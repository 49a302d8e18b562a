package org.turmericspan.front;

import com.google.common.flogger.FluentLogger;
import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import io.javalin.http.HttpResponseException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/** HTTP server for callers: {@code /v1/locate} and {@code /v1/services/SERVICE/PATH}. */
public final class CallerServer implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String SERVICE_ROUTE = "/v1/services/<path>";
    private static final int MAX_CONNECTIONS = 8_192;
    private static final Duration MAX_BODY_READ_TIME = Duration.ofSeconds(30);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final List<HandlerType> METHODS = List.of(
            HandlerType.GET,
            HandlerType.HEAD,
            HandlerType.POST,
            HandlerType.PUT,
            HandlerType.PATCH,
            HandlerType.DELETE,
            HandlerType.OPTIONS);

    private final RequestDecoder decoder;
    private final ResultEncoder encoder = new ResultEncoder();
    private final CallHandler handler;
    private final MonotonicClock clock;
    private final Locator locator;
    private final TokenIssuer issuer;
    private final Javalin server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param handler handler of the calls
     * @param locator resolves locate requests
     * @param issuer incarnation and epoch for run tokens
     * @param catalog limits of the services
     * @param clock clock that measures deadlines
     */
    public CallerServer(
            CallHandler handler, Locator locator, TokenIssuer issuer, ServiceCatalog catalog, MonotonicClock clock) {
        this.decoder = new RequestDecoder(catalog, clock);
        this.handler = handler;
        this.clock = clock;
        this.locator = locator;
        this.issuer = issuer;
        this.server = Javalin.create(this::configure);
    }

    /**
     * Starts to listen.
     *
     * @param address address to listen on
     */
    public void start(SocketAddress address) {
        server.start(address.host(), address.port());
    }

    /** Stops accepting connections, waits for the responses in flight up to a time limit and closes what remains. */
    @Override
    public void close() {
        server.stop();
    }

    private void configure(JavalinConfig config) {
        HttpLimits.apply(config, MAX_CONNECTIONS);
        config.router.treatMultipleSlashesAsSingleSlash = false;
        config.jetty.modifyServer(CallerServer::stopGracefully);
        config.http.asyncTimeout = 0;
        config.http.compressionStrategy = CompressionStrategy.NONE;
        config.routes.get("/v1/locate", this::locate);
        METHODS.forEach(method -> config.routes.addHttpHandler(method, SERVICE_ROUTE, this::call));
        config.routes.exception(HttpResponseException.class, this::refuse);
        config.routes.exception(BalancerException.class, this::refuse);
        config.routes.exception(Exception.class, this::fail);
    }

    private static void stopGracefully(Server jetty) {
        jetty.setHandler(new GracefulHandler());
        jetty.setStopTimeout(STOP_TIMEOUT.toMillis());
    }

    private void locate(Context context) {
        ServiceId service = serviceParameter(context);
        LocateResult locateResult = locator.locate(service)
                .orElseThrow(() -> new BalancerException(ResultCode.NOT_CONFIGURED, "Service " + service));
        context.contentType("application/json");
        context.result(encoder.json(LocateBody.of(service.value(), locateResult, issuer)));
    }

    private static ServiceId serviceParameter(Context context) {
        String name = context.queryParam("service");
        try {
            return new ServiceId(name == null ? "" : name);
        } catch (IllegalArgumentException e) {
            throw new BalancerException(ResultCode.MALFORMED_REQUEST, e.getMessage(), e);
        }
    }

    private void call(Context context) {
        RequestHead head = decoder.decode(context.req());
        context.future(() -> readBody(context, head)
                .thenCompose(body -> handler.handle(head.withBody(body)))
                .handle((result, failure) -> respond(context, head, result, failure)));
    }

    private CompletableFuture<Payload> readBody(Context context, RequestHead head) {
        if (!RequestDecoder.hasBody(context.req())) {
            return CompletableFuture.completedFuture(Payload.EMPTY);
        }
        Duration remaining = Duration.ofNanos(head.deadlineNanos() - clock.nowNanos());
        Duration limit = remaining.compareTo(MAX_BODY_READ_TIME) < 0 ? remaining : MAX_BODY_READ_TIME;
        try {
            return BodyReader.read(context.req().getInputStream(), head.bodyLimitBytes(), limit);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private Void respond(Context context, RequestHead head, CallResult result, Throwable failure) {
        String requestId = head.requestId().value();
        if (failure == null) {
            encoder.encode(context, requestId, result);
            return null;
        }
        CallResult.Refused refused = toRefusal(failure instanceof CompletionException ? failure.getCause() : failure);
        context.header(CallerHeaders.CONNECTION, CallerHeaders.CLOSE);
        context.header(CallerHeaders.REQUEST_ID, requestId);
        encoder.writeRefusalBeforeLookup(context, refused);
        return null;
    }

    private static CallResult.Refused toRefusal(Throwable failure) {
        if (failure instanceof BalancerException balancerFailure) {
            return CallResult.Refused.of(balancerFailure.code(), balancerFailure.detail());
        }
        if (failure instanceof TimeoutException) {
            return CallResult.Refused.of(ResultCode.SLOW_REQUEST, "The body was not whole in time");
        }
        logger.atWarning().withCause(failure).log(
                "front: a call failed unexpectedly; it is refused as an internal error");
        return CallResult.Refused.of(ResultCode.INTERNAL, failure.getClass().getSimpleName());
    }

    private void refuse(HttpResponseException failure, Context context) {
        encoder.writeRefusalBeforeLookup(context, HttpErrorHandler.refusal(failure.getStatus()));
    }

    private void refuse(BalancerException failure, Context context) {
        encoder.writeRefusalBeforeLookup(context, toRefusal(failure));
    }

    private void fail(Exception failure, Context context) {
        encoder.writeRefusalBeforeLookup(context, toRefusal(failure));
    }
}
