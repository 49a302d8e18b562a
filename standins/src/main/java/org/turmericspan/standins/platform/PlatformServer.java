package org.turmericspan.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** HTTP face of the platform stand-in. Everything under {@code /control} is for the test alone. */
final class PlatformServer {
    private static final long MAX_VALUE_BYTES = 4_194_304;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int STATUS_UNAVAILABLE = 503;

    private final ObjectMapper mapper = new ObjectMapper();
    private final ValueStore store;
    private final AtomicLong reads = new AtomicLong();
    private volatile boolean down;

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
        config.routes.post("/control/lag", this::lag);
        config.routes.post("/control/frozen", context -> store.setFrozen(flag(context)));
        config.routes.post("/control/down", context -> down = flag(context));
        config.routes.get("/control/reads", context -> context.result(Long.toString(reads.get())));
    }

    private void read(Context context) {
        reads.incrementAndGet();
        if (down) {
            context.status(STATUS_UNAVAILABLE);
            return;
        }
        long after = Long.parseLong(context.queryParam("after"));
        Duration wait = Duration.ofMillis(Long.parseLong(context.queryParam("wait_ms")));
        context.future(
                () -> store.watch(context.pathParam("key"), after, wait).thenAccept(value -> answer(context, value)));
    }

    private void answer(Context context, Optional<ValueStore.Value> value) {
        if (down) {
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

    private void lag(Context context) {
        Duration lag = Duration.ofMillis(Long.parseLong(context.queryParam("ms")));
        store.setLag(context.queryParam("key"), lag);
    }

    private static boolean flag(Context context) {
        return Boolean.parseBoolean(context.queryParam("on"));
    }
}
