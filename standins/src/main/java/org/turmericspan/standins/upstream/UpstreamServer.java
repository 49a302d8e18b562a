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
 * HTTP face of the stand-in upstreams: one port for each, and one control port. A request may say how long it works
 * ({@code work_ms}) and how large its answer is ({@code size}); a body that contains {@code poison} crashes its
 * upstream.
 */
final class UpstreamServer {
    private static final String HOST = "127.0.0.1";
    private static final String REQUEST_ID = "Turmericspan-Request-Id";
    private static final String ATTEMPT_ID = "Turmericspan-Attempt-Id";
    private static final String POISON = "poison";
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
        quiet(config);
        ports.forEach(port -> config.jetty.addConnector((server, http) -> connector(server, http, port)));
        config.routes.get("/load", this::load);
        config.routes.get("/<path>", this::run);
        config.routes.post("/<path>", this::run);
        config.routes.put("/<path>", this::run);
    }

    private void configureControl(JavalinConfig config) {
        quiet(config);
        config.routes.get("/control/witness", context -> json(context, witnesses()));
        config.routes.get("/control/orders", context -> json(context, orders()));
        config.routes.post("/control/crash", context -> model(context).crash());
        config.routes.post("/control/cold", context -> model(context).becomeCold());
        config.routes.post("/control/warm", context -> models.values().forEach(UpstreamModel::warm));
        config.routes.post("/control/leaving", this::leaving);
        config.routes.post("/control/slow", this::slow);
    }

    private static void quiet(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.asyncTimeout = 0;
    }

    private ServerConnector connector(Server server, HttpConfiguration http, int port) {
        ServerConnector connector = new ServerConnector(server, new HttpConnectionFactory(http));
        connector.setHost(HOST);
        connector.setPort(port);
        connectors.put(port, new CrashableConnector(connector, timer, settings.restartTime()));
        return connector;
    }

    private void load(Context context) {
        UpstreamModel model = models.get(context.req().getLocalPort());
        model.countProbe();
        describe(context, model);
        context.result("ok");
    }

    private void run(Context context) {
        UpstreamModel model = models.get(context.req().getLocalPort());
        String body = context.body();
        String requestId = Optional.ofNullable(context.header(REQUEST_ID)).orElse("none");
        context.header(REQUEST_ID, requestId);
        Optional.ofNullable(context.header(ATTEMPT_ID)).ifPresent(id -> context.header(ATTEMPT_ID, id));
        Duration work = Duration.ofMillis(number(context, "work_ms", 0));
        int size = (int) number(context, "size", 0);
        if (body.contains(POISON)) {
            model.crash();
            context.future(CompletableFuture::new);
            return;
        }
        String order = Optional.ofNullable(context.header("Order-Id")).orElse("");
        CompletableFuture<Void> finished = new CompletableFuture<>();
        boolean taken = model.arrive(new UpstreamModel.Job(order, work, () -> finished.complete(null)));
        if (!taken) {
            describe(context, model);
            context.header("Turmericspan-Not-Run", "1").status(STATUS_UNAVAILABLE);
            return;
        }
        context.future(() -> finished.thenRun(() -> {
            describe(context, model);
            context.result(answer(requestId, size));
        }));
    }

    /** Builds an answer that begins with the request's id and whose length and bytes follow from it. */
    private static String answer(String requestId, int size) {
        StringBuilder text = new StringBuilder(requestId).append('\n');
        while (text.length() < size) {
            text.append(requestId).append(' ');
        }
        text.setLength(Math.max(size, requestId.length() + 1));
        return text.toString();
    }

    private static void describe(Context context, UpstreamModel model) {
        UpstreamModel.Report report = model.report();
        context.header("Turmericspan-Running", Integer.toString(report.running()));
        context.header("Turmericspan-Incarnation", report.incarnation());
        if (report.cold()) {
            context.header("Turmericspan-Cold", "1");
        }
        if (report.leaving()) {
            context.header("Turmericspan-Leaving", "1");
        }
    }

    private Map<Integer, Witness> witnesses() {
        Map<Integer, Witness> all = new TreeMap<>();
        models.forEach((port, model) -> all.put(port, model.witness()));
        return all;
    }

    private Map<String, Integer> orders() {
        Map<String, Integer> all = new TreeMap<>();
        models.values()
                .forEach(model -> model.runsByOrder().forEach((order, runs) -> all.merge(order, runs, Integer::sum)));
        return all;
    }

    private void leaving(Context context) {
        model(context).setLeaving(Boolean.parseBoolean(context.queryParam("on")));
    }

    private void slow(Context context) {
        double factor = Double.parseDouble(context.queryParam("factor"));
        model(context).slowDown(factor, Duration.ofMillis(number(context, "ms", 0)));
    }

    private UpstreamModel model(Context context) {
        return models.get((int) number(context, "port", 0));
    }

    private static long number(Context context, String name, long fallback) {
        return Optional.ofNullable(context.queryParam(name))
                .map(Long::parseLong)
                .orElse(fallback);
    }

    private void json(Context context, Object value) throws JsonProcessingException {
        context.contentType("application/json").result(mapper.writeValueAsString(value));
    }
}
