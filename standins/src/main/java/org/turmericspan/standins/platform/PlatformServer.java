package org.turmericspan.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** HTTP server of the platform stand-in. The paths under {@code /control} are for tests only. */
final class PlatformServer {
    private static final long MAX_VALUE_BYTES = 4_194_304;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ObjectMapper mapper = new ObjectMapper();
    private final ValueStore store;
    private final AtomicLong reads = new AtomicLong();
    private volatile boolean isDown;

    PlatformServer(ValueStore store) {
        this.store = store;
    }

    void start(int port) {
        Javalin.create(this::configure).start("127.0.0.1", port);
    }

    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.asyncTimeout = 0;
        config.http.maxRequestSize = MAX_VALUE_BYTES;
        config.routes.get("/v1/values/{key}", this::read);
        config.routes.put("/control/values/{key}", this::write);
        config.routes.put("/control/restored/{key}", this::restore);
        config.routes.post("/control/lag", this::setLag);
        config.routes.post("/control/frozen", context -> store.setFrozen(isOn(context)));
        config.routes.post("/control/down", context -> isDown = isOn(context));
        config.routes.get("/control/reads", context -> context.result(Long.toString(reads.get())));
    }

    private void read(Context context) {
        reads.incrementAndGet();
        if (isDown) {
            context.status(STATUS_UNAVAILABLE);
            return;
        }
        long afterRevision = Long.parseLong(context.queryParam("after"));
        Duration timeout = Duration.ofMillis(Long.parseLong(context.queryParam("wait_ms")));
        context.future(() -> store.watch(context.pathParam("key"), afterRevision, timeout)
                .thenAccept(value -> sendValue(context, value)));
    }

    private void sendValue(Context context, Optional<ValueStore.Value> value) {
        if (isDown) {
            context.status(STATUS_UNAVAILABLE);
        } else if (value.isEmpty()) {
            context.status(STATUS_NOT_MODIFIED);
        } else {
            context.contentType("application/json");
            context.result(mapper.createObjectNode()
                    .put("revision", value.get().revision())
                    .put("value", value.get().text())
                    .toString());
        }
    }

    private void write(Context context) {
        context.result(Long.toString(store.write(context.pathParam("key"), context.body())));
    }

    private void restore(Context context) {
        long revision = Long.parseLong(context.queryParam("revision"));
        store.restore(context.pathParam("key"), new ValueStore.Value(revision, context.body()));
    }

    private void setLag(Context context) {
        Duration lag = Duration.ofMillis(Long.parseLong(context.queryParam("ms")));
        store.setLag(context.queryParam("key"), lag);
    }

    private static boolean isOn(Context context) {
        return Boolean.parseBoolean(context.queryParam("on"));
    }
}
