package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Servers that send bytes to no end: the call breaks, the connection closes, and memory stays bounded. */
class EndlessResponseTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(60), false, Optional.empty());
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BodyMemory memory = BodyMemory.ofHeap();
    private final HttpClient client = new HttpClient(workers, memory, MonotonicClock.system());

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns a script that sends a start, and then one part until the client closes the connection. */
    private static RawServer.Script endless(String start, String part, AtomicBoolean closed) {
        return (head, connection) -> {
            try {
                RawServer.sending(start).respond(head, connection);
                sendForever(part.getBytes(StandardCharsets.UTF_8), connection);
            } finally {
                closed.set(true);
            }
        };
    }

    private static void sendForever(byte[] part, Socket connection) throws IOException {
        while (true) {
            connection.getOutputStream().write(part);
        }
    }

    private CompletableFuture<CallEnd> call(SocketAddress address) {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        client.call(address, RequestMessage.get("/x", "host"), OPTIONS, end::complete);
        return end;
    }

    private void assertBroken(String start, String part) throws Exception {
        AtomicBoolean closed = new AtomicBoolean();
        try (RawServer server = new RawServer(endless(start, part, closed))) {
            assertThat(call(server.address()).get(20, TimeUnit.SECONDS)).isInstanceOf(CallEnd.Broken.class);
            for (int i = 0; i < 1_000 && !closed.get(); i++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertThat(closed).isTrue();
            assertThat(memory.responseBytes()).isZero();
        }
    }

    @Test
    void statusLineWithoutEndIsBroken() throws Exception {
        assertBroken("HTTP/1.1 200 ", "y".repeat(1_000));
    }

    @Test
    void headersWithoutEndAreBroken() throws Exception {
        assertBroken("HTTP/1.1 200 OK\r\n", "X-Y: z\r\n".repeat(100));
    }

    @Test
    void blankLinesWithoutEndAreBroken() throws Exception {
        assertBroken("", "\r\n".repeat(500));
    }

    @Test
    void informationalResponsesWithoutEndAreBroken() throws Exception {
        assertBroken("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(10));
    }

    @Test
    void bodyWithoutEndIsBroken() throws Exception {
        assertBroken("HTTP/1.1 200 OK\r\n\r\n", "y".repeat(100_000));
    }

    @Test
    void chunksWithoutEndAreBroken() throws Exception {
        assertBroken(CHUNKED, "3e8\r\n" + "y".repeat(1_000) + "\r\n");
    }

    @Test
    void chunkSizeWithoutEndIsBroken() throws Exception {
        assertBroken(CHUNKED + "3", ";x=" + "y".repeat(1_000));
    }

    @Test
    void trailersWithoutEndAreBroken() throws Exception {
        assertBroken(CHUNKED + "0\r\n", "X-Y: z\r\n".repeat(100));
    }

    @Test
    void noBytesOfAnyKindTakeMoreThanTheirShareOfTheHeap() throws Exception {
        AtomicBoolean closed = new AtomicBoolean();
        long limit = Runtime.getRuntime().maxMemory() / 8;
        String start = "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n";
        try (RawServer server = new RawServer(endless(start, "y".repeat(100_000), closed))) {
            List<CompletableFuture<CallEnd>> ends = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                ends.add(call(server.address()));
            }
            while (ends.stream().anyMatch(end -> !end.isDone())) {
                assertThat(memory.responseBytes()).isLessThanOrEqualTo(limit + 1_000_000);
                TimeUnit.MILLISECONDS.sleep(5);
            }
            for (CompletableFuture<CallEnd> end : ends) {
                assertThat(end.get()).isInstanceOf(CallEnd.Broken.class);
            }
            assertThat(memory.responseBytes()).isZero();
        }
    }

    @Test
    void nextCallUsesAnotherConnection() throws Exception {
        AtomicBoolean closed = new AtomicBoolean();
        AtomicBoolean healthy = new AtomicBoolean();
        RawServer.Script endless = endless("", "\r\n".repeat(500), closed);
        RawServer.Script whole = RawServer.sending("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        try (RawServer server = new RawServer(
                (head, connection) -> (healthy.getAndSet(true) ? whole : endless).respond(head, connection))) {
            assertThat(call(server.address()).get(20, TimeUnit.SECONDS)).isInstanceOf(CallEnd.Broken.class);
            assertThat(call(server.address()).get(20, TimeUnit.SECONDS)).isInstanceOf(CallEnd.Answered.class);
            assertThat(server.connections()).isEqualTo(2);
        }
    }
}
