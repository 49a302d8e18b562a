package org.turmericspan.front;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.SocketAddress;

/** HTTP server for operators: {@code /v1/state}, {@code /v1/metrics} and {@code /v1/health}. */
public final class OperatorServer implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final int STATUS_OK = 200;

    private final ObjectMapper mapper = new ObjectMapper();
    private final Set<StateSection> sections;
    private final MetricRegistry metrics;
    private final BooleanSupplier ready;
    private final Javalin server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param sections parts of the state dump
     * @param metrics metrics of the process
     * @param ready whether the node takes calls
     */
    public OperatorServer(Set<StateSection> sections, MetricRegistry metrics, BooleanSupplier ready) {
        this.sections = Set.copyOf(sections);
        this.metrics = metrics;
        this.ready = ready;
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

    @Override
    public void close() {
        server.stop();
    }

    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.routes.get("/v1/state", this::state);
        config.routes.get("/v1/metrics", this::metrics);
        config.routes.get("/v1/health", this::health);
    }

    private void state(Context context) {
        ObjectNode root = mapper.createObjectNode();
        sections.forEach(section -> root.set(section.name(), mapper.valueToTree(section.read())));
        context.contentType(JSON).result(root.toPrettyString());
    }

    private void metrics(Context context) {
        context.contentType("text/plain").result(MetricsText.format(metrics));
    }

    private void health(Context context) {
        boolean isReady = ready.getAsBoolean();
        context.status(isReady ? STATUS_OK : ResultCode.NOT_READY.httpStatus());
        context.result(isReady ? "ready" : "not ready");
    }
}
