package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;

/** A response without a length is complete only if the server ended its connection, and in no other case. */
class ConnectionEndTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(60), false, Optional.of("X-Id"));
    private static final String PART = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart";
    /** More than the buffers of both sockets hold, so that the client is still sending when the server stops. */
    private static final int UNREAD_BODY_BYTES = 16 * 1_048_576;

    private static final long PAUSE_MILLIS = 300;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallEnd> start(RawServer server, int bodyBytes) {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        HeaderList headers = RequestMessage.get("/x", "host").headers().with("X-Id", "1");
        client.call(
                server.address(),
                new RequestMessage("POST", "/x", headers, new byte[bodyBytes]),
                OPTIONS,
                end::complete);
        return end;
    }

    private CallEnd callEndedBy(RawServer.Script script, int bodyBytes) throws Exception {
        try (RawServer server = new RawServer(script)) {
            return start(server, bodyBytes).get(20, TimeUnit.SECONDS);
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static RawServer.Script sendingPartThenEnding(CutResponseTest.Ending ending) {
        return (head, connection) -> {
            RawServer.sending(PART).respond(head, connection);
            pause();
            ending.end(connection);
        };
    }

    @Test
    void serverClosesAfterResponse() throws Exception {
        assertThat(callEndedBy(sendingPartThenEnding(Socket::close), 0)).isInstanceOf(CallEnd.Answered.class);
    }

    @Test
    void serverHalfClosesAfterResponse() throws Exception {
        assertThat(callEndedBy(sendingPartThenEnding(Socket::shutdownOutput), 0))
                .isInstanceOf(CallEnd.Answered.class);
    }

    @Test
    void serverResetsWithinResponse() throws Exception {
        assertThat(callEndedBy(sendingPartThenEnding(CutResponseTest::reset), 0))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against a truncated body that counts as whole because the failed write closes the connection. */
    @Test
    void serverResetsWhileRequestIsSent() throws Exception {
        assertThat(callEndedBy(sendingPartThenEnding(CutResponseTest::reset), UNREAD_BODY_BYTES))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against the same when the end of the bytes arrives before the reset that follows it. */
    @Test
    void serverClosesWithUnreadBytesWhileRequestIsSent() throws Exception {
        assertThat(callEndedBy(sendingPartThenEnding(Socket::close), UNREAD_BODY_BYTES))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against a truncated body that counts as whole because the client's workers close the connection. */
    @Test
    void workersStopWithinResponse() throws Exception {
        CompletableFuture<Boolean> sent = new CompletableFuture<>();
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending(PART).respond(head, connection);
            pause();
            sent.complete(true);
        })) {
            CompletableFuture<CallEnd> end = start(server, 0);
            sent.get(20, TimeUnit.SECONDS);
            workers.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(20, TimeUnit.SECONDS);
            assertThat(end).isCompleted();
            assertThat(end.join()).isInstanceOf(CallEnd.Broken.class);
        }
    }
}
