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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

class HttpListenerTest {
    private static final ListenerLimits LIMITS =
            new ListenerLimits(1_000, 100, TimeUnit.SECONDS.toNanos(1), TimeUnit.SECONDS.toNanos(2));
    private static final String GET = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpListener listener;

    @AfterEach
    void stop() {
        listener.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket connect(HttpService service) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(
                workers,
                new SocketAddress("127.0.0.1", port),
                service,
                () -> LIMITS,
                BodyMemory.ofHeap(),
                MonotonicClock.system(),
                EventLog.none());
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void echo(RequestMessage request, Reply reply) {
        reply.send(ResponseMessage.text(
                200, "text/plain", request.target() + "=" + new String(request.body(), StandardCharsets.UTF_8) + ";"));
    }

    private static String sendAndShutDownOutput(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.shutdownOutput();
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static String requestWithConnectionClose(String methodAndTarget, String body) {
        return methodAndTarget + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String sendAndReadAll(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @Test
    void pipelinedRequestsGetResponsesInOrder() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            String first = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
            String responses = sendAndReadAll(socket, first + requestWithConnectionClose("POST /2", "b"));
            assertThat(responses.indexOf("/1=a;")).isBetween(0, responses.indexOf("/2=b;"));
        }
    }

    @Test
    void chunkedBodyIsAssembled() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
            assertThat(sendAndReadAll(socket, request)).contains("/x=abc;");
        }
    }

    @Test
    void bodyAboveLimitIsRejected() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            assertThat(sendAndReadAll(socket, requestWithConnectionClose("POST /x", "a".repeat(101))))
                    .startsWith("HTTP/1.1 413");
        }
    }

    @Test
    void headAboveLimitIsRejected() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            String request = "GET /x HTTP/1.1\r\nHost: h\r\nX: " + "a".repeat(1_100) + "\r\n\r\n";
            assertThat(sendAndReadAll(socket, request)).startsWith("HTTP/1.1 431");
        }
    }

    @Test
    void headNotCompleteWithinTimeoutIsRejected() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            assertThat(sendAndReadAll(socket, "GET /x HTTP/1.1\r\nHo")).startsWith("HTTP/1.1 408");
        }
    }

    @Test
    void idleConnectionIsClosedAfterTimeout() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void callerDisconnectRunsRegisteredAction() throws Exception {
        CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
        CompletableFuture<Boolean> arrived = new CompletableFuture<>();
        try (Socket socket = connect((request, reply) -> {
            reply.onCallerGone(() -> disconnected.complete(true));
            arrived.complete(true);
        })) {
            socket.getOutputStream().write(GET.getBytes(StandardCharsets.UTF_8));
            arrived.get(20, TimeUnit.SECONDS);
            socket.close();
            assertThat(disconnected.get(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void drainingListenerRespondsAndClosesConnection() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            listener.drain();
            assertThat(sendAndReadAll(socket, GET)).contains("200 OK").containsIgnoringCase("connection: close");
        }
    }

    /** Guards against a request that is passed on although its connection closes with the response before it. */
    @Test
    void requestBehindTheLastResponseIsNotHandled() throws IOException {
        List<String> handled = new CopyOnWriteArrayList<>();
        try (Socket socket = connect((request, reply) -> {
            handled.add(request.target());
            // The second request is received before the first response is sent.
            reply.worker().schedule(() -> echo(request, reply), 200, TimeUnit.MILLISECONDS);
        })) {
            String responses = sendAndReadAll(socket, requestWithConnectionClose("POST /1", "a") + GET);
            assertThat(responses).contains("/1=a;");
            assertThat(handled).containsExactly("/1");
        }
    }

    /** Guards against closing a connection on which the caller has sent the head of a request, but not its body yet. */
    @Test
    void connectionIsNotIdleWhileTheBodyBehindAPipelinedHeadIsReceived() throws Exception {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            String head = "POST /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write((GET + head).getBytes(StandardCharsets.UTF_8));
            assertThat(new String(socket.getInputStream().readNBytes(12), StandardCharsets.UTF_8))
                    .isEqualTo("HTTP/1.1 200");
            listener.closeIdle(0);
            assertThat(sendAndReadAll(socket, "1\r\nb\r\n0\r\n\r\n")).contains("/2=b;");
        }
    }

    /** Guards against a request that is passed on although its caller has reset the connection. */
    @Test
    void requestBehindAResponseThatCannotBeWrittenIsNotHandled() throws Exception {
        List<String> handled = new CopyOnWriteArrayList<>();
        CompletableFuture<Boolean> sent = new CompletableFuture<>();
        try (Socket socket = connect((request, reply) -> {
            handled.add(request.target());
            // Exceeds the send buffers, so that the write is still in progress when the caller resets.
            reply.send(ResponseMessage.text(200, "text/plain", "a".repeat(32_000_000)));
            sent.complete(true);
        })) {
            socket.getOutputStream()
                    .write((GET + requestWithConnectionClose("POST /2", "b")).getBytes(StandardCharsets.UTF_8));
            sent.get(20, TimeUnit.SECONDS);
            socket.setSoLinger(true, 0);
        }
        awaitConnections(0);
        assertThat(handled).containsExactly("/x");
    }

    private void awaitConnections(int count) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (listener.connections() != count) {
            assertThat(System.nanoTime()).as("connections").isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** Guards against a complete request that is dropped behind the response to the request before it. */
    @Test
    void drainingListenerRespondsToPipelinedRequests() throws IOException {
        try (Socket socket = connect(
                (request, reply) -> reply.worker().schedule(() -> echo(request, reply), 200, TimeUnit.MILLISECONDS))) {
            listener.drain();
            String first = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na";
            String second = "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb";
            assertThat(sendAndReadAll(socket, first + second)).contains("/1=a;").contains("/2=b;");
        }
    }

    @Test
    void connectionsAreCountedByWhatTheyWaitFor() throws Exception {
        try (Socket receiving = connect(HttpListenerTest::echo);
                Socket idle = new Socket("127.0.0.1", listener.port())) {
            receiving.getOutputStream().write("GET /x HTTP/1.1\r\nHo".getBytes(StandardCharsets.UTF_8));
            awaitConnections(2);
            while (listener.receiving() == 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            listener.closeIdle(0);
            assertThat(idle.getInputStream().read()).isEqualTo(-1);
            awaitConnections(1);
            assertThat(listener.idleClosed()).isEqualTo(1);
            assertThat(listener.receiving()).isEqualTo(1);
            assertThat(listener.sending()).isZero();
            assertThat(listener.requests()).isZero();
        }
    }

    /** Guards against closing a new connection before the first request of its caller has arrived. */
    @Test
    void newConnectionIsNotIdle() throws Exception {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            awaitConnections(1);
            listener.closeIdle(TimeUnit.SECONDS.toNanos(1));
            assertThat(sendAndReadAll(socket, requestWithConnectionClose("POST /1", "a")))
                    .contains("/1=a;");
        }
    }

    /** Guards against a target that reaches the upstream with other bytes than the caller sent. */
    @Test
    void targetWithBytesOutsideAsciiIsRejected() throws IOException {
        List<String> handled = new CopyOnWriteArrayList<>();
        try (Socket socket = connect((request, reply) -> {
            handled.add(request.target());
            echo(request, reply);
        })) {
            assertThat(sendAndReadAll(socket, requestWithConnectionClose("POST /caf\u00e9", "")))
                    .startsWith("HTTP/1.1 400");
            assertThat(handled).isEmpty();
        }
    }

    @Test
    void conflictingContentLengthsAreRejected() throws IOException {
        try (Socket socket = connect(HttpListenerTest::echo)) {
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 5\r\n\r\nabcde";
            assertThat(sendAndShutDownOutput(socket, request)).doesNotContain("200 OK");
        }
    }
}
