package org.turmericspan.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
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
    private final Queue<Long> runTimesNanos = new ConcurrentLinkedQueue<>();
    private final AtomicInteger running = new AtomicInteger();
    private volatile long workMillis = 20;
    private volatile int responseBytes;
    private volatile long warmupMillis;
    private volatile boolean shedding;
    private volatile boolean leaving;
    private volatile long pauseMillis;
    private volatile long pausedUntilNanos;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /**
     * A request that reached the server.
     *
     * @param path path of the request
     * @param atNanos time of the arrival
     * @param headers headers of the request
     */
    record Arrival(String path, long atNanos, HeaderList headers) {}

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

    /** Returns the times at which requests began to run. */
    List<Long> runTimesNanos() {
        return List.copyOf(runTimesNanos);
    }

    void setWorkMillis(long millis) {
        workMillis = millis;
    }

    /** Sets the length of the response bodies; 0 stands for the identifier of the server. */
    void setResponseBytes(int bytes) {
        responseBytes = bytes;
    }

    void setWarmupMillis(long millis) {
        warmupMillis = millis;
    }

    void setShedding(boolean enabled) {
        shedding = enabled;
    }

    /** Marks all responses from now on, as a server does that shuts down. */
    void setLeaving() {
        leaving = true;
    }

    /** Turns requests away until the time is over, and asks in each refusal for a pause until then. */
    void pauseFor(long millis) {
        pauseMillis = millis;
        pausedUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private boolean isPaused() {
        return pauseMillis > 0 && pausedUntilNanos - System.nanoTime() > 0;
    }

    /** Returns the requests that reached the server, without health checks. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private HeaderList commonHeaders() {
        HeaderList headers = HeaderList.EMPTY
                .with("Turmericspan-Instance-Id", id)
                .with("Turmericspan-Server-Load", running.get() + ",0,3,100")
                .with("Keep-Alive", "timeout=10");
        return leaving ? headers.with("Server-Leaving", "1") : headers;
    }

    private void handle(RequestMessage request, Reply reply) {
        HeaderList headers = commonHeaders();
        if (request.path().equals("/healthz")) {
            reply.send(new ResponseMessage(
                    200, headers.with("Turmericspan-Warmup-Ms", Long.toString(warmupMillis)), new byte[0]));
            return;
        }
        arrivals.add(new Arrival(request.path(), System.nanoTime(), request.headers()));
        String requestId = request.headers().first(REQUEST_ID).orElse("-");
        HeaderList responseHeaders = headers.with(REQUEST_ID, requestId);
        String expected =
                request.headers().first("Turmericspan-Expect-Instance").orElse(id);
        if (!expected.equals(id)) {
            reply.send(new ResponseMessage(421, responseHeaders, new byte[0]));
        } else if (isPaused()) {
            double seconds = (pausedUntilNanos - System.nanoTime()) / (double) TimeUnit.SECONDS.toNanos(1);
            reply.send(new ResponseMessage(
                    503,
                    responseHeaders
                            .with("Turmericspan-Not-Executed", "1")
                            .with("Retry-After", Double.toString(Math.max(0, seconds))),
                    new byte[0]));
        } else if (shedding) {
            reply.send(new ResponseMessage(503, responseHeaders.with("Turmericspan-Not-Executed", "1"), new byte[0]));
        } else {
            runs.merge(requestId, 1, Integer::sum);
            runTimesNanos.add(System.nanoTime());
            running.incrementAndGet();
            reply.worker().schedule(() -> finish(reply, responseHeaders), workMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void finish(Reply reply, HeaderList headers) {
        running.decrementAndGet();
        byte[] body = responseBytes > 0 ? new byte[responseBytes] : id.getBytes(StandardCharsets.UTF_8);
        reply.send(new ResponseMessage(200, headers.with("Turmericspan-Response-Signature", "s"), body));
    }

    @Override
    public void close() {
        listener.close();
    }
}
