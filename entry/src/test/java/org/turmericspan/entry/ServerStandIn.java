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

/** A server of the platform: runs requests for a while and counts, as a witness, what it ran. */
final class ServerStandIn implements AutoCloseable {
    private static final String REQUEST_ID = "Turmericspan-Request-Id";

    private final String id;
    private final SocketAddress address;
    private final HttpListener listener;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private volatile long lastRunNanos = Long.MIN_VALUE;
    private final AtomicInteger running = new AtomicInteger();
    private volatile long workMillis = 20;
    private volatile long coldMillis;
    private volatile boolean sheds;

    ServerStandIn(String id, SocketAddress address, PlatformStandIn platform) {
        this.id = id;
        this.address = address;
        this.listener = platform.listen(address, this::answer);
    }

    String id() {
        return id;
    }

    SocketAddress address() {
        return address;
    }

    /** Returns how often each request ran. */
    Map<String, Integer> runs() {
        return runs;
    }

    long lastRunNanos() {
        return lastRunNanos;
    }

    void workFor(long millis) {
        workMillis = millis;
    }

    void coldFor(long millis) {
        coldMillis = millis;
    }

    void shed(boolean all) {
        sheds = all;
    }

    private void answer(RequestMessage request, Reply reply) {
        HeaderList headers = HeaderList.EMPTY
                .with("Turmericspan-Instance-Id", id)
                .with("Turmericspan-Server-Load", running.get() + ",0,3,100")
                .with("Keep-Alive", "timeout=10");
        if (request.path().equals("/healthz")) {
            reply.send(new ResponseMessage(
                    200, headers.with("Turmericspan-Warmup-Ms", Long.toString(coldMillis)), new byte[0]));
            return;
        }
        String requestId = request.headers().first(REQUEST_ID).orElse("-");
        HeaderList answerHeaders = headers.with(REQUEST_ID, requestId);
        String expected =
                request.headers().first("Turmericspan-Expect-Instance").orElse(id);
        if (!expected.equals(id)) {
            reply.send(new ResponseMessage(421, answerHeaders, new byte[0]));
        } else if (sheds) {
            reply.send(new ResponseMessage(503, answerHeaders.with("Turmericspan-Not-Executed", "1"), new byte[0]));
        } else {
            runs.merge(requestId, 1, Integer::sum);
            lastRunNanos = System.nanoTime();
            running.incrementAndGet();
            reply.worker().schedule(() -> finish(reply, answerHeaders), workMillis, TimeUnit.MILLISECONDS);
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
