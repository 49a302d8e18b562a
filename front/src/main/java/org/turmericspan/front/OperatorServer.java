package org.turmericspan.front;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.metrics.MetricsText;

/** HTTP server for operators: {@code /v1/state}, {@code /v1/metrics} and {@code /v1/health}. */
public final class OperatorServer implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String JSON = "application/json";
    private static final String METRICS_TEXT = "text/plain; version=0.0.4; charset=utf-8";
    private static final int STATUS_OK = 200;
    private static final int MAX_CONNECTIONS = 256;

    private final ResultEncoder encoder = new ResultEncoder();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<StateSection> sections;
    private final MetricRegistry metrics;
    private final BooleanSupplier ready;
    private final Javalin server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param sections sections of the state dump
     * @param metrics metrics of the process
     * @param ready whether the node accepts calls
     */
    public OperatorServer(Set<StateSection> sections, MetricRegistry metrics, BooleanSupplier ready) {
        this.sections = sections.stream()
                .sorted(Comparator.comparing(StateSection::name))
                .toList();
        this.metrics = metrics;
        this.ready = ready;
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

    @Override
    public void close() {
        server.stop();
    }

    private void configure(JavalinConfig config) {
        HttpLimits.apply(config, MAX_CONNECTIONS);
        config.routes.get("/v1/state", this::state);
        config.routes.get("/v1/metrics", this::metrics);
        config.routes.get("/v1/health", this::health);
        config.routes.exception(
                HttpResponseException.class,
                (failure, context) -> encoder.writeRefusal(context, HttpErrorHandler.refusal(failure.getStatus())));
    }

    private void state(Context context) {
        ObjectNode root = mapper.createObjectNode();
        sections.forEach(section -> root.set(section.name(), read(section)));
        context.contentType(JSON).result(root.toPrettyString());
    }

    /** Reads one section. A failure is reported in its place, so that the other sections are still returned. */
    private JsonNode read(StateSection section) {
        try {
            return mapper.valueToTree(section.read());
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log(
                    "front: cannot read state section %s; the state dump reports a failure in its place",
                    section.name());
            return mapper.createObjectNode().put("failure", e.getClass().getSimpleName());
        }
    }

    private void metrics(Context context) {
        context.contentType(METRICS_TEXT).result(MetricsText.format(metrics));
    }

    private void health(Context context) {
        boolean isReady = ready.getAsBoolean();
        context.status(isReady ? STATUS_OK : ResultCode.NOT_READY.httpStatus());
        context.result(isReady ? "ready" : "not ready");
    }
}
