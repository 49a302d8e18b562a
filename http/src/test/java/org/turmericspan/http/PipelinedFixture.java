package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** A listener whose service holds its replies, for tests of requests that are sent ahead. */
abstract class PipelinedFixture {
    static final int MEMORY_BYTES = 4_000_000;
    static final int LARGE_BYTES = 300_000;
    static final long QUIET_MILLIS = 200;
    static final ListenerLimits LIMITS =
            new ListenerLimits(1_000, 1_000_000, TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(2));

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BodyMemory memory = new BodyMemory(MEMORY_BYTES);
    private final HeldService service = new HeldService();
    private HttpListener listener;

    /** Holds the replies until a test responds; targets that begin with /safe may be repeated. */
    static final class HeldService implements HttpService {
        private final List<String> started = new CopyOnWriteArrayList<>();
        private final List<String> cancelled = new CopyOnWriteArrayList<>();
        private final Map<String, Reply> replies = new ConcurrentHashMap<>();

        private volatile boolean atOnce;

        @Override
        public void handle(RequestMessage request, Reply reply) {
            reply.onCallerGone(() -> cancelled.add(request.target()));
            replies.put(request.target(), reply);
            started.add(request.target());
            if (atOnce) {
                reply.send(ResponseMessage.text(200, "text/plain", request.target() + ";"));
            }
        }

        @Override
        public boolean isRepeatable(RequestMessage request) {
            return request.target().startsWith("/safe");
        }

        void respondAtOnceFromNowOn() {
            atOnce = true;
        }

        List<String> started() {
            return started;
        }

        List<String> cancelled() {
            return cancelled;
        }

        Reply reply(String target) {
            return replies.get(target);
        }

        void respond(String target) {
            respond(target, target + ";");
        }

        void respond(String target, String body) {
            Reply reply = replies.get(target);
            reply.worker().execute(() -> reply.send(ResponseMessage.text(200, "text/plain", body)));
        }
    }

    @BeforeEach
    void listen() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(
                workers,
                new SocketAddress("127.0.0.1", port),
                service,
                () -> LIMITS,
                memory,
                MonotonicClock.system(),
                EventLog.none());
    }

    @AfterEach
    void stop() {
        listener.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    final HeldService service() {
        return service;
    }

    final BodyMemory memory() {
        return memory;
    }

    final HttpListener listener() {
        return listener;
    }

    final Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    static String lastGet(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    }

    static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.length() < end.length() || received.indexOf(end, received.length() - end.length()) < 0) {
            int next = socket.getInputStream().read();
            assertThat(next).as("end of the connection after %s", received).isNotNegative();
            received.append((char) next);
        }
        return received.toString();
    }

    static String readAll(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    final void awaitStarted(String... targets) throws InterruptedException {
        await(() -> service.started.size() >= targets.length);
        assertThat(service.started).containsExactly(targets);
    }

    static void expectNothingReceived(Socket socket) throws IOException {
        socket.setSoTimeout((int) QUIET_MILLIS);
        try {
            assertThat(socket.getInputStream().read()).as("byte received").isNull();
        } catch (SocketTimeoutException expected) {
            socket.setSoTimeout(20_000);
        }
    }
}
