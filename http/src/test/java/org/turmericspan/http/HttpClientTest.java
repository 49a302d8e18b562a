package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/**
 * Tests that a call reports its actual outcome and never receives the response of another call.
 *
 * <p>A truncated response, or a connection reused after unexpected bytes, would otherwise yield a wrong response; a
 * wrong {@code NotSent} would make a retry execute the request twice. A cancelled call resets its connection, so that
 * bytes delayed in the network are not delivered later.
 */
class HttpClientTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok";
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(60), false, Optional.of("X-Id"));

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CallEnd call(SocketAddress address) throws Exception {
        RequestMessage request = RequestMessage.get("/x", "host");
        return send(address, new RequestMessage("GET", "/x", request.headers().with("X-Id", "1"), request.body()));
    }

    private CallEnd send(SocketAddress address, RequestMessage request) throws Exception {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        client.call(address, request, OPTIONS, end::complete);
        return end.get(20, TimeUnit.SECONDS);
    }

    private static String bodyOf(CallEnd end) {
        return new String(((CallEnd.Answered) end).response().body(), StandardCharsets.UTF_8);
    }

    @Test
    void completeResponseKeepsConnectionForReuse() throws Exception {
        try (RawServer server = new RawServer(RawServer.sending(OK))) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @Test
    void truncatedResponseIsBroken() throws Exception {
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nok")
                    .respond(head, connection);
            connection.close();
        })) {
            assertThat(call(server.address())).isInstanceOf(CallEnd.Broken.class);
        }
    }

    @Test
    void responseWithoutLengthEndsWithConnection() throws Exception {
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole").respond(head, connection);
            connection.close();
        })) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("whole");
        }
    }

    @Test
    void responseWithoutLengthIsBrokenAfterReset() throws Exception {
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart").respond(head, connection);
            connection.setSoLinger(true, 0);
            connection.close();
        })) {
            assertThat(call(server.address())).isInstanceOf(CallEnd.Broken.class);
        }
    }

    @Test
    void malformedResponseIsBroken() throws Exception {
        try (RawServer server = new RawServer(RawServer.sending("garbage garbage\r\n\r\n"))) {
            assertThat(call(server.address())).isInstanceOf(CallEnd.Broken.class);
        }
    }

    @Test
    void responseWithOtherCorrelationIdIsSkipped() throws Exception {
        String stale = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nstale";
        try (RawServer server = new RawServer(RawServer.sending(stale + OK))) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** Guards against a late copy of the response to a probe that is taken for the response to a request. */
    @Test
    void responseWithoutCorrelationIdIsSkipped() throws Exception {
        String lateCopy = "HTTP/1.1 503 Full\r\nX-Instance: i\r\nContent-Length: 0\r\n\r\n";
        try (RawServer server = new RawServer(RawServer.sending(lateCopy + OK))) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** Guards against a late copy of the response to a request that is taken for the response to a probe. */
    @Test
    void responseWithUnexpectedCorrelationIdIsSkipped() throws Exception {
        String lateCopy = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nstale";
        String response = "HTTP/1.1 200 OK\r\nX-Instance: i\r\nContent-Length: 2\r\n\r\nok";
        try (RawServer server = new RawServer(RawServer.sending(lateCopy + response))) {
            assertThat(bodyOf(send(server.address(), RequestMessage.get("/x", "host"))))
                    .isEqualTo("ok");
        }
    }

    /** Guards against a response that two others form together and that bears the identifiers of both. */
    @Test
    void responseWithTwoCorrelationIdsIsSkipped() throws Exception {
        String joined = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n";
        try (RawServer server = new RawServer(RawServer.sending(joined + OK))) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
        }
    }

    @Test
    void bytesAfterResponseCloseConnection() throws Exception {
        try (RawServer server = new RawServer(RawServer.sending(OK + OK))) {
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(bodyOf(call(server.address()))).isEqualTo("ok");
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    @Test
    void responseToHeadRequestHasNoBody() throws Exception {
        try (RawServer server = new RawServer(RawServer.sending("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"))) {
            for (int i = 0; i < 2; i++) {
                RequestMessage get = RequestMessage.get("/x", "host");
                RequestMessage head = new RequestMessage("HEAD", "/x", get.headers(), get.body());
                assertThat(bodyOf(send(server.address(), head))).isEmpty();
            }
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        CallEnd end = call(new SocketAddress("127.0.0.1", port));
        assertThat(end).isInstanceOf(CallEnd.NotSent.class);
    }

    @Test
    void cancelledCallResetsConnection() throws IOException {
        CompletableFuture<Boolean> reset = new CompletableFuture<>();
        CompletableFuture<Boolean> arrived = new CompletableFuture<>();
        try (RawServer server = new RawServer((head, connection) -> {
            arrived.complete(true);
            try {
                connection.getInputStream().read();
                reset.complete(false);
            } catch (SocketException e) {
                reset.complete(true);
            }
        })) {
            CallHandle handle = client.call(server.address(), RequestMessage.get("/x", "host"), OPTIONS, end -> {});
            arrived.join();
            handle.cancel();
            assertThat(reset.orTimeout(20, TimeUnit.SECONDS).join()).isTrue();
        }
    }
}
