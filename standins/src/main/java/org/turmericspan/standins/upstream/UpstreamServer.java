package org.turmericspan.standins.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * HTTP server of the stand-in upstreams, with one port per upstream and one control port. The query parameters of a
 * request set its service time ({@code work_ms}) and the size of its response ({@code size}). A body that contains
 * {@code poison} crashes the upstream.
 */
final class UpstreamServer {
    private static final String HOST = "127.0.0.1";
    private static final String REQUEST_ID_HEADER = "Turmericspan-Request-Id";
    private static final String ATTEMPT_ID_HEADER = "Turmericspan-Attempt-Id";
    private static final String CRASH_MARKER = "poison";
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int TIMER_THREADS = 2;

    private final ObjectMapper mapper = new ObjectMapper();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS, task -> {
        Thread thread = new Thread(task, "upstream-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<Integer, UpstreamModel> models = new TreeMap<>();
    private final Map<Integer, CrashableConnector> connectors = new TreeMap<>();
    private final List<Integer> ports;
    private final int controlPort;
    private final UpstreamSettings settings;

    UpstreamServer(List<Integer> ports, int controlPort, UpstreamSettings settings) {
        this.ports = ports;
        this.controlPort = controlPort;
        this.settings = settings;
        for (int port : ports) {
            models.put(
                    port,
                    new UpstreamModel(
                            settings, timer, () -> connectors.get(port).crash()));
        }
    }

    void start() {
        Javalin.create(this::configureUpstreams).start();
        Javalin.create(this::configureControl).start(HOST, controlPort);
    }

    private void configureUpstreams(JavalinConfig config) {
        applyCommonSettings(config);
        ports.forEach(port -> config.jetty.addConnector((server, http) -> connector(server, http, port)));
        config.routes.get("/load", this::handleProbe);
        config.routes.get("/<path>", this::handleRequest);
        config.routes.post("/<path>", this::handleRequest);
        config.routes.put("/<path>", this::handleRequest);
    }

    private void configureControl(JavalinConfig config) {
        applyCommonSettings(config);
        config.routes.get("/control/witness", context -> sendJson(context, statisticsByPort()));
        config.routes.get("/control/orders", context -> sendJson(context, runsByOrderId()));
        config.routes.post("/control/crash", context -> model(context).crash());
        config.routes.post("/control/cold", context -> model(context).becomeCold());
        config.routes.post("/control/warm", context -> models.values().forEach(UpstreamModel::becomeWarm));
        config.routes.post("/control/leaving", this::setLeaving);
        config.routes.post("/control/slow", this::slowDown);
    }

    private static void applyCommonSettings(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.asyncTimeout = 0;
    }

    private ServerConnector connector(Server server, HttpConfiguration http, int port) {
        ServerConnector connector = new ServerConnector(server, new HttpConnectionFactory(http));
        connector.setHost(HOST);
        connector.setPort(port);
        connectors.put(port, new CrashableConnector(connector, timer, settings.restartDelay()));
        return connector;
    }

    private void handleProbe(Context context) {
        UpstreamModel model = models.get(context.req().getLocalPort());
        model.countProbe();
        addStateHeaders(context, model);
        context.result("ok");
    }

    private void handleRequest(Context context) {
        UpstreamModel model = models.get(context.req().getLocalPort());
        String body = context.body();
        String requestId =
                Optional.ofNullable(context.header(REQUEST_ID_HEADER)).orElse("none");
        context.header(REQUEST_ID_HEADER, requestId);
        Optional.ofNullable(context.header(ATTEMPT_ID_HEADER)).ifPresent(id -> context.header(ATTEMPT_ID_HEADER, id));
        Duration serviceTime = Duration.ofMillis(numberParameter(context, "work_ms", 0));
        int size = (int) numberParameter(context, "size", 0);
        if (body.contains(CRASH_MARKER)) {
            model.crash();
            context.future(CompletableFuture::new);
            return;
        }
        String orderId = Optional.ofNullable(context.header("Order-Id")).orElse("");
        CompletableFuture<Void> finished = new CompletableFuture<>();
        boolean isAccepted = model.submit(new UpstreamModel.Job(orderId, serviceTime, () -> finished.complete(null)));
        if (!isAccepted) {
            addStateHeaders(context, model);
            context.header("Turmericspan-Not-Run", "1").status(STATUS_UNAVAILABLE);
            return;
        }
        context.future(() -> finished.thenRun(() -> {
            addStateHeaders(context, model);
            context.result(responseBody(requestId, size));
        }));
    }

    /** Builds a body that starts with the request id and follows from id and size, so that a caller can verify it. */
    private static String responseBody(String requestId, int size) {
        StringBuilder text = new StringBuilder(requestId).append('\n');
        while (text.length() < size) {
            text.append(requestId).append(' ');
        }
        text.setLength(Math.max(size, requestId.length() + 1));
        return text.toString();
    }

    private static void addStateHeaders(Context context, UpstreamModel model) {
        UpstreamModel.Report report = model.report();
        context.header("Turmericspan-Running", Integer.toString(report.inFlight()));
        context.header("Turmericspan-Incarnation", report.incarnation());
        if (report.cold()) {
            context.header("Turmericspan-Cold", "1");
        }
        if (report.leaving()) {
            context.header("Turmericspan-Leaving", "1");
        }
    }

    private Map<Integer, UpstreamStatistics> statisticsByPort() {
        Map<Integer, UpstreamStatistics> all = new TreeMap<>();
        models.forEach((port, model) -> all.put(port, model.statistics()));
        return all;
    }

    private Map<String, Integer> runsByOrderId() {
        Map<String, Integer> all = new TreeMap<>();
        models.values()
                .forEach(model ->
                        model.runsByOrderId().forEach((orderId, runs) -> all.merge(orderId, runs, Integer::sum)));
        return all;
    }

    private void setLeaving(Context context) {
        model(context).setLeaving(Boolean.parseBoolean(context.queryParam("on")));
    }

    private void slowDown(Context context) {
        double factor = Double.parseDouble(context.queryParam("factor"));
        model(context).slowDown(factor, Duration.ofMillis(numberParameter(context, "ms", 0)));
    }

    private UpstreamModel model(Context context) {
        return models.get((int) numberParameter(context, "port", 0));
    }

    private static long numberParameter(Context context, String name, long defaultValue) {
        return Optional.ofNullable(context.queryParam(name))
                .map(Long::parseLong)
                .orElse(defaultValue);
    }

    private void sendJson(Context context, Object value) throws JsonProcessingException {
        context.contentType("application/json").result(mapper.writeValueAsString(value));
    }
}
