package org.turmericspan.entry;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.SocketAddress;

/** A server of the platform that simulates the execution of requests and counts how often each one ran. */
final class ServerStandIn implements AutoCloseable {
    private static final String REQUEST_ID = "Turmericspan-Request-Id";

    private final String id;
    private final SocketAddress address;
    private final HttpListener listener;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private volatile long lastRunNanos = Long.MIN_VALUE;
    private final AtomicInteger running = new AtomicInteger();
    private volatile long workMillis = 20;
    private volatile long warmupMillis;
    private volatile boolean shedding;

    ServerStandIn(String id, SocketAddress address, PlatformStandIn platform) {
        this.id = id;
        this.address = address;
        this.listener = platform.listen(address, this::handle);
    }

    String id() {
        return id;
    }

    SocketAddress address() {
        return address;
    }

    /** Returns the number of executions by request identifier. */
    Map<String, Integer> runs() {
        return runs;
    }

    long lastRunNanos() {
        return lastRunNanos;
    }

    void setWorkMillis(long millis) {
        workMillis = millis;
    }

    void setWarmupMillis(long millis) {
        warmupMillis = millis;
    }

    void setShedding(boolean enabled) {
        shedding = enabled;
    }

    private void handle(RequestMessage request, Reply reply) {
        HeaderList headers = HeaderList.EMPTY
                .with("Turmericspan-Instance-Id", id)
                .with("Turmericspan-Server-Load", running.get() + ",0,3,100")
                .with("Keep-Alive", "timeout=10");
        if (request.path().equals("/healthz")) {
            reply.send(new ResponseMessage(
                    200, headers.with("Turmericspan-Warmup-Ms", Long.toString(warmupMillis)), new byte[0]));
            return;
        }
        String requestId = request.headers().first(REQUEST_ID).orElse("-");
        HeaderList responseHeaders = headers.with(REQUEST_ID, requestId);
        String expected =
                request.headers().first("Turmericspan-Expect-Instance").orElse(id);
        if (!expected.equals(id)) {
            reply.send(new ResponseMessage(421, responseHeaders, new byte[0]));
        } else if (shedding) {
            reply.send(new ResponseMessage(503, responseHeaders.with("Turmericspan-Not-Executed", "1"), new byte[0]));
        } else {
            runs.merge(requestId, 1, Integer::sum);
            lastRunNanos = System.nanoTime();
            running.incrementAndGet();
            reply.worker().schedule(() -> finish(reply, responseHeaders), workMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void finish(Reply reply, HeaderList headers) {
        running.decrementAndGet();
        reply.send(new ResponseMessage(
                200, headers.with("Turmericspan-Response-Signature", "s"), id.getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public void close() {
        listener.close();
    }
}
