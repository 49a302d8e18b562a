package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Responses on a kept connection end where their heads say, so that no body is read as the next response. */
class ResponseFramingTest {
    private static final ListenerLimits LIMITS =
            new ListenerLimits(1_000, 100, TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(20));
    private static final String LAST = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    private static final String BODY = "a body";
    private static final long WORK_MILLIS = 100;
    private static final String END_OF_HEAD = "\r\n\r\n";

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpListener listener;

    @AfterEach
    void stop() {
        listener.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Responds after a pause, with the status that the path names and always with a body. */
    private static void respond(RequestMessage request, Reply reply) {
        int status = request.target().equals("/last")
                ? 200
                : Integer.parseInt(request.target().substring(1));
        ResponseMessage response = ResponseMessage.text(status, "text/plain", BODY);
        reply.worker().schedule(() -> reply.send(response), WORK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private String bytesFor(String requests) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(
                workers,
                new SocketAddress("127.0.0.1", port),
                ResponseFramingTest::respond,
                () -> LIMITS,
                BodyMemory.ofHeap(),
                MonotonicClock.system(),
                EventLog.none());
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((requests + LAST).getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static String request(String method, int status) {
        return method + " /" + status + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static void expectNoBodyBeforeLast(String bytes) {
        int end = bytes.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
        assertThat(bytes.substring(end)).startsWith("HTTP/1.1 200 OK\r\n").endsWith(END_OF_HEAD + BODY);
    }

    @Test
    void eachResponseDeclaresItsLength() throws IOException {
        String bytes = bytesFor(request("GET", 200) + request("GET", 502));
        assertThat(bytes.split("(?i)content-length: " + BODY.length(), -1)).hasSize(4);
        assertThat(bytes).doesNotContainIgnoringCase("transfer-encoding");
    }

    @Test
    void noContentHasNeitherLengthNorBody() throws IOException {
        String bytes = bytesFor(request("GET", 204));
        expectNoBodyBeforeLast(bytes);
        assertThat(bytes.substring(0, bytes.indexOf(END_OF_HEAD))).doesNotContainIgnoringCase("content-length");
    }

    @Test
    void notModifiedHasNoBody() throws IOException {
        expectNoBodyBeforeLast(bytesFor(request("GET", 304)));
    }

    @Test
    void resetContentHasNoBody() throws IOException {
        String bytes = bytesFor(request("GET", 205));
        expectNoBodyBeforeLast(bytes);
        assertThat(bytes.substring(0, bytes.indexOf(END_OF_HEAD))).containsIgnoringCase("content-length: 0");
    }

    @Test
    void responseToHeadRequestHasNoBody() throws IOException {
        expectNoBodyBeforeLast(bytesFor(request("HEAD", 200)));
    }

    @Test
    void refusalOfHeadRequestHasNoBody() throws IOException {
        expectNoBodyBeforeLast(bytesFor(request("HEAD", 503)));
    }

    /** Guards against an interim response that is taken for the response to the HEAD request. */
    @Test
    void responseToHeadRequestAfterContinueHasNoBody() throws IOException {
        String bytes = bytesFor("HEAD /200 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx");
        assertThat(bytes).startsWith("HTTP/1.1 100 Continue" + END_OF_HEAD);
        expectNoBodyBeforeLast(bytes.substring(bytes.indexOf(END_OF_HEAD) + END_OF_HEAD.length()));
    }

    /** Guards against a response that declares a length and is sent without its body, as one to a HEAD request. */
    @Test
    void responseAfterContinueHasItsBodyBeforeHeadRequest() throws IOException {
        String post = "POST /200 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx";
        String bytes = bytesFor(post + request("HEAD", 200));
        String responses = bytes.substring(bytes.indexOf(END_OF_HEAD) + END_OF_HEAD.length());
        int body = responses.indexOf(END_OF_HEAD) + END_OF_HEAD.length();
        assertThat(responses.substring(body)).startsWith(BODY + "HTTP/1.1 200 OK\r\n");
        expectNoBodyBeforeLast(responses.substring(body + BODY.length()));
    }
}
