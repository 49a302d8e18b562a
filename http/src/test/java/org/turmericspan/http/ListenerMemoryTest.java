package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Guards against bodies within their limit that together exhaust the memory of a process. */
class ListenerMemoryTest {
    private static final int MEMORY_BYTES = 400_000;
    private static final int LARGE_BYTES = 200_000;
    private static final ListenerLimits LIMITS =
            new ListenerLimits(1_000, 1_000_000, TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(10));

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BodyMemory memory = new BodyMemory(MEMORY_BYTES);
    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final List<Reply> heldReplies = new CopyOnWriteArrayList<>();
    private HttpListener listener;

    @BeforeEach
    void listen() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(
                workers,
                new SocketAddress("127.0.0.1", port),
                this::handle,
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

    /** Holds the reply to /hold, answers /big with a large body, and all others with their path. */
    private void handle(RequestMessage request, Reply reply) {
        handled.add(request.target());
        if (request.target().equals("/hold")) {
            heldReplies.add(reply);
        } else {
            String body = request.target().equals("/big") ? "b".repeat(LARGE_BYTES) : request.target();
            reply.send(ResponseMessage.text(200, "text/plain", body));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String head(String target, int length) {
        return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n";
    }

    private static String readLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next >= 0 && next != '\n';
                next = socket.getInputStream().read()) {
            line.append((char) next);
        }
        return line.toString();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Test
    void bodyBeyondTheMemoryIsRefusedBeforeItIsSent() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, head("/first", LARGE_BYTES));
            await(() -> memory.requestBytes() == LARGE_BYTES);
            send(second, head("/second", LARGE_BYTES));
            String response = new String(second.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(response).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
            assertThat(handled).isEmpty();
        }
    }

    @Test
    void smallRequestIsServedBesideLargeBodies() throws Exception {
        try (Socket first = connect();
                Socket second = connect()) {
            send(first, head("/first", LARGE_BYTES));
            await(() -> memory.requestBytes() == LARGE_BYTES);
            send(second, head("/small", 10) + "0123456789");
            assertThat(readLine(second)).startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void chunkedBodyBeyondTheMemoryIsRefused() throws Exception {
        try (Socket socket = connect()) {
            send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = "2710\r\n" + "c".repeat(10_000) + "\r\n";
            for (int i = 0; i < 60; i++) {
                send(socket, chunk);
            }
            assertThat(readLine(socket)).startsWith("HTTP/1.1 503");
            assertThat(handled).isEmpty();
            await(() -> memory.requestBytes() == 0);
        }
    }

    @Test
    void memoryIsFreeAfterTheResponse() throws Exception {
        try (Socket socket = connect()) {
            for (int i = 0; i < 5; i++) {
                send(socket, head("/big", LARGE_BYTES) + "a".repeat(LARGE_BYTES));
                assertThat(readLine(socket)).startsWith("HTTP/1.1 200");
                for (String line = readLine(socket); line.length() > 1; ) {
                    line = readLine(socket);
                }
                assertThat(socket.getInputStream().readNBytes(LARGE_BYTES)).hasSize(LARGE_BYTES);
            }
            await(() -> memory.requestBytes() == 0 && memory.responseBytes() == 0);
        }
    }

    @Test
    void memoryIsTakenUntilTheResponse() throws Exception {
        try (Socket socket = connect()) {
            send(socket, head("/hold", LARGE_BYTES) + "a".repeat(LARGE_BYTES));
            await(() -> heldReplies.size() == 1);
            assertThat(memory.requestBytes()).isEqualTo(LARGE_BYTES);
        }
        await(() -> memory.requestBytes() == 0);
    }

    @Test
    void memoryIsFreeWhenTheCallerLeavesWithinTheBody() throws Exception {
        try (Socket socket = connect()) {
            send(socket, head("/x", LARGE_BYTES) + "a".repeat(1_000));
            await(() -> memory.requestBytes() == LARGE_BYTES);
        }
        await(() -> memory.requestBytes() == 0);
    }

    /** Guards against responses that pile up for a caller which sends requests and reads nothing. */
    @Test
    void nextRequestWaitsUntilTheResponseBeforeItIsSent() throws Exception {
        try (Socket socket = connect()) {
            String request = "GET /big HTTP/1.1\r\nHost: h\r\n\r\n";
            for (int i = 0; i < 300; i++) {
                send(socket, request);
            }
            await(() -> memory.responseBytes() > 0);
            TimeUnit.MILLISECONDS.sleep(300);
            assertThat(memory.responseBytes()).isEqualTo(LARGE_BYTES);
        }
        await(() -> memory.responseBytes() == 0);
    }

    @Test
    void requestIsRefusedWithoutRoomForItsResponse() throws Exception {
        memory.addResponse(MEMORY_BYTES);
        try (Socket socket = connect()) {
            send(socket, head("/small", 1) + "a");
            assertThat(readLine(socket)).startsWith("HTTP/1.1 503");
            assertThat(handled).isEmpty();
        }
    }

    /** Guards against a refusal that is lost, because the connection is reset while the caller still sends. */
    @Test
    void refusedCallerThatSendsItsWholeBodySlowlyReadsTheRefusal() throws Exception {
        try (Socket socket = connect()) {
            send(socket, head("/x", MEMORY_BYTES));
            for (int i = 0; i < 20; i++) {
                send(socket, "a".repeat(MEMORY_BYTES / 20));
                TimeUnit.MILLISECONDS.sleep(100);
            }
            assertThat(readLine(socket)).startsWith("HTTP/1.1 503");
        }
    }
}
