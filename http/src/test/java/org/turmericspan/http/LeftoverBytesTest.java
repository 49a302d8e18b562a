package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;

/** Servers that send bytes after a complete response: these bytes never become part of the next response. */
class LeftoverBytesTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(60), false, Optional.of("X-Id"));
    private static final String REJECTION = "HTTP/1.1 503 Full\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok";
    private static final String PARTIAL_STATUS_LINE = "HTTP/1.1 503 St";

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());
    private final AtomicInteger requests = new AtomicInteger();

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CallEnd call(RawServer server, String id) throws Exception {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        RequestMessage request = RequestMessage.get("/x", "host");
        client.call(
                server.address(),
                new RequestMessage("GET", "/x", request.headers().with("X-Id", id), request.body()),
                OPTIONS,
                end::complete);
        return end.get(20, TimeUnit.SECONDS);
    }

    private static int statusOf(CallEnd end) {
        return ((CallEnd.Answered) end).response().status();
    }

    /** Returns a script that sends one text for the first request and another for all later ones. */
    private RawServer.Script firstThenOthers(String first, String others) {
        return (head, connection) -> RawServer.sending(requests.getAndIncrement() == 0 ? first : others)
                .respond(head, connection);
    }

    /** Sends one call on a new connection and one on the same connection, which receives the text. */
    private CallEnd secondCallReceiving(String text) throws Exception {
        try (RawServer server = new RawServer(firstThenOthers(OK.formatted("1"), text))) {
            assertThat(statusOf(call(server, "1"))).isEqualTo(200);
            CallEnd end = call(server, "2");
            assertThat(server.connections()).isEqualTo(1);
            return end;
        }
    }

    /** Guards against a refusal of a request that ran: part of a rejection was completed by the next response. */
    @Test
    void partialStatusLineAfterResponseClosesConnection() throws Exception {
        String rejectionAndMore = REJECTION.formatted("1") + PARTIAL_STATUS_LINE;
        try (RawServer server = new RawServer(firstThenOthers(rejectionAndMore, OK.formatted("2")))) {
            assertThat(statusOf(call(server, "1"))).isEqualTo(503);
            assertThat(statusOf(call(server, "2"))).isEqualTo(200);
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** Guards against the same when the bytes arrive while the connection is idle. */
    @Test
    void partialStatusLineOnIdleConnectionClosesIt() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        try (RawServer server = new RawServer((head, connection) -> {
            if (requests.getAndIncrement() > 0) {
                RawServer.sending(OK.formatted("2")).respond(head, connection);
                return;
            }
            RawServer.sending(REJECTION.formatted("1")).respond(head, connection);
            try {
                TimeUnit.MILLISECONDS.sleep(200);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            RawServer.sending(PARTIAL_STATUS_LINE).respond(head, connection);
            closed.complete(connection.getInputStream().read() < 0);
        })) {
            assertThat(statusOf(call(server, "1"))).isEqualTo(503);
            assertThat(closed.get(20, TimeUnit.SECONDS)).isTrue();
            assertThat(statusOf(call(server, "2"))).isEqualTo(200);
            assertThat(server.connections()).isEqualTo(2);
        }
    }

    /** Guards against the same when the bytes arrive after the next request was sent. */
    @Test
    void partialStatusLineBeforeResponseBreaksCall() throws Exception {
        assertThat(secondCallReceiving(PARTIAL_STATUS_LINE + OK.formatted("2"))).isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same when the bytes end within a header value. */
    @Test
    void partialHeaderValueBeforeResponseBreaksCall() throws Exception {
        assertThat(secondCallReceiving("HTTP/1.1 503 Full\r\nX-Why: fu" + OK.formatted("2")))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same when the bytes end within a header name. */
    @Test
    void partialHeaderNameBeforeResponseBreaksCall() throws Exception {
        assertThat(secondCallReceiving("HTTP/1.1 503 Full\r\nX-W" + OK.formatted("2")))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same when the bytes end after a complete header line. */
    @Test
    void completeHeaderLinesBeforeResponseBreakCall() throws Exception {
        assertThat(secondCallReceiving("HTTP/1.1 503 Full\r\nX-Why: full\r\n" + OK.formatted("2")))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same when the bytes end within the protocol version. */
    @Test
    void partialVersionBeforeResponseBreaksCall() throws Exception {
        assertThat(secondCallReceiving("HTTP/1." + OK.formatted("2"))).isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same wherever the bytes end: the status is that of the whole response, or none. */
    @Test
    void noPartOfAnEarlierResponseChangesTheStatus() throws Exception {
        String rejection = REJECTION.formatted("1");
        for (int length = 1; length <= rejection.length(); length++) {
            requests.set(0);
            CallEnd end = secondCallReceiving(rejection.substring(0, length) + OK.formatted("2"));
            if (end instanceof CallEnd.Answered) {
                assertThat(statusOf(end)).as("after %s bytes", length).isEqualTo(200);
            }
        }
    }

    /** Header values may name a protocol version without being a part of another response. */
    @Test
    void headerValueWithProtocolVersionIsAccepted() throws Exception {
        String response = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nVia: HTTP/1.1 proxy\r\nContent-Length: 0\r\n\r\n";
        assertThat(statusOf(secondCallReceiving(response))).isEqualTo(200);
    }
}
