package org.turmericspan.front;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Located;
import org.turmericspan.calls.Locator;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/** HTTP server for callers: {@code /v1/locate} and {@code /v1/services/SERVICE/PATH}. */
public final class CallerServer implements AutoCloseable {
    private static final String SERVICE_ROUTE = "/v1/services/{service}/<path>";
    private static final String SERVICE_PREFIX = "/v1/services/";
    private static final Duration RESPONSE_WRITE_LIMIT = Duration.ofSeconds(10);
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
    private final Locator locator;
    private final TokenIssuer issuer;
    private final Javalin server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param handler handles calls
     * @param locator answers locate requests
     * @param issuer tells what run tokens need
     * @param catalog limits of the services
     * @param clock measures deadlines
     */
    public CallerServer(
            CallHandler handler, Locator locator, TokenIssuer issuer, ServiceCatalog catalog, MonotonicClock clock) {
        this.decoder = new RequestDecoder(catalog, clock);
        this.handler = handler;
        this.locator = locator;
        this.issuer = issuer;
        this.server = Javalin.create(this::configure);
    }

    /**
     * Starts to listen.
     *
     * @param address where to listen
     */
    public void start(SocketAddress address) {
        server.start(address.host(), address.port());
    }

    /** Stops to accept connections, lets every response in flight end, and closes the rest. */
    @Override
    public void close() {
        server.stop();
    }

    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.router.treatMultipleSlashesAsSingleSlash = false;
        config.jetty.modifyServer(CallerServer::stopGracefully);
        config.http.asyncTimeout = 0;
        config.http.compressionStrategy = CompressionStrategy.NONE;
        config.routes.get("/v1/locate", this::locate);
        METHODS.forEach(method -> config.routes.addHttpHandler(method, SERVICE_ROUTE, this::call));
        config.routes.exception(BalancerException.class, this::refuse);
        config.routes.exception(Exception.class, this::fail);
    }

    private static void stopGracefully(Server jetty) {
        jetty.setHandler(new GracefulHandler());
        jetty.setStopTimeout(RESPONSE_WRITE_LIMIT.toMillis());
    }

    private void locate(Context context) {
        ServiceId service = serviceParameter(context);
        Located located = locator.locate(service)
                .orElseThrow(() -> new BalancerException(ResultCode.NOT_CONFIGURED, "Service " + service));
        context.contentType("application/json");
        context.result(encoder.json(LocateBody.of(service.value(), located, issuer)));
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
        CallRequest request = decoder.decode(context, context.pathParam("service"), rawPath(context));
        CompletableFuture<CallResult> result = handler.handle(request).toCompletableFuture();
        context.future(() -> result.thenAccept(
                outcome -> encoder.encode(context, request.requestId().value(), outcome)));
    }

    private static String rawPath(Context context) {
        String uri = context.req().getRequestURI();
        int slash = uri.indexOf('/', SERVICE_PREFIX.length());
        String query = context.queryString();
        String path = slash < 0 ? "/" : uri.substring(slash);
        return query == null ? path : path + "?" + query;
    }

    private void refuse(BalancerException failure, Context context) {
        encoder.refuseEarly(context, CallResult.Refused.of(failure.code(), failure.getMessage()));
    }

    private void fail(Exception failure, Context context) {
        encoder.refuseEarly(
                context,
                CallResult.Refused.of(ResultCode.INTERNAL, failure.getClass().getSimpleName()));
    }
}
