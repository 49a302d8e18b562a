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

/** Load: a caller sends four lookups of 0.3 s on one connection before it reads the first response. */
class RequestsSentAheadTest {
    private static final ListenerLimits LIMITS =
            new ListenerLimits(1_000, 100, TimeUnit.SECONDS.toNanos(10), TimeUnit.SECONDS.toNanos(10));
    private static final int REQUESTS = 4;
    private static final long WORK_MILLIS = 300;
    private static final long MAX_MILLIS = 450;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpListener listener;

    @AfterEach
    void stop() {
        listener.close();
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Responds to each request with its target after 0.3 s; each may be repeated. */
    static final class SlowLookups implements HttpService {
        @Override
        public void handle(RequestMessage request, Reply reply) {
            reply.worker()
                    .schedule(
                            () -> reply.send(ResponseMessage.text(200, "text/plain", request.target())),
                            WORK_MILLIS,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public boolean isRepeatable(RequestMessage request) {
            return true;
        }
    }

    private Socket connect() throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        listener = new HttpListener(
                workers,
                new SocketAddress("127.0.0.1", port),
                new SlowLookups(),
                () -> LIMITS,
                BodyMemory.ofHeap(),
                MonotonicClock.system(),
                EventLog.none());
        Socket socket = new Socket("127.0.0.1", listener.port());
        socket.setSoTimeout(20_000);
        return socket;
    }

    /** Sends the requests at once, and returns all that arrives up to the body of the last response. */
    private static String exchange(Socket socket) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
            requests.append("GET /").append(i).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
        }
        socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.UTF_8));
        StringBuilder received = new StringBuilder();
        while (!received.toString().endsWith("\r\n\r\n/" + (REQUESTS - 1))) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            received.append((char) next);
        }
        return received.toString();
    }

    @Test
    void fourRequestsSentAheadAreAllAnsweredInTimeAndInOrder() throws IOException {
        try (Socket socket = connect()) {
            exchange(socket);
            long startNanos = System.nanoTime();
            String received = exchange(socket);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertThat(received).containsSubsequence("\r\n\r\n/0", "\r\n\r\n/1", "\r\n\r\n/2", "\r\n\r\n/3");
            assertThat(millis).isLessThanOrEqualTo(MAX_MILLIS);
        }
    }
}
