package org.turmericspan.integration;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;

/** Background load: several callers that send lookups to the nodes, round robin, until closed. */
final class Traffic implements AutoCloseable {
    private static final int CALLER_COUNT = 12;
    private static final int STATUS_OK = 200;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);

    private final List<FleetNode> nodes;
    private final OkHttpClient client = new OkHttpClient.Builder()
            .callTimeout(2, TimeUnit.SECONDS)
            .retryOnConnectionFailure(false)
            .build();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicInteger activeCallers = new AtomicInteger(CALLER_COUNT);
    private volatile boolean closed;

    private Traffic(Fleet fleet) {
        this.nodes = fleet.nodes();
    }

    static Traffic start(Fleet fleet) {
        Traffic traffic = new Traffic(fleet);
        for (int i = 0; i < CALLER_COUNT; i++) {
            Thread caller = new Thread(traffic::sendLookups, "caller-" + i);
            caller.setDaemon(true);
            caller.start();
        }
        return traffic;
    }

    long sent() {
        return sent.get();
    }

    void awaitResponses(int more, Duration limit) {
        long target = answered.get() + more;
        Await.until(more + " more responses", limit, () -> answered.get() >= target);
    }

    void awaitUntil(long wallMillis) {
        Await.until(
                "the wall clock reaches the given time",
                Duration.ofMinutes(1),
                () -> System.currentTimeMillis() >= wallMillis);
    }

    @Override
    public void close() {
        closed = true;
        Await.until("callers stop", Duration.ofSeconds(10), () -> activeCallers.get() == 0);
    }

    private void sendLookups() {
        while (!closed) {
            long number = sent.incrementAndGet();
            FleetNode node = nodes.get((int) (number % nodes.size()));
            Request request = new Request.Builder()
                    .url(node.callerUrl() + "/v1/services/ordering/stock?work_ms=10")
                    .header("Turmericspan-Office", "pressroom")
                    .header("Turmericspan-Caller", "mari")
                    .header("Turmericspan-Request-Id", "request-" + number)
                    .build();
            try (Response response = client.newCall(request).execute()) {
                if (response.code() == STATUS_OK) {
                    answered.incrementAndGet();
                }
            } catch (IOException e) {
                LockSupport.parkNanos(RETRY_PAUSE.toNanos());
            }
        }
        activeCallers.decrementAndGet();
    }
}
