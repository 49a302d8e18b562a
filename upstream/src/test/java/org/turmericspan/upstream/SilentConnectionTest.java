package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/**
 * Guards against requests that time out on a pooled connection which no longer responds, while a new connection to the
 * same upstream would work. Each connection of the test server responds once and never again.
 */
final class SilentConnectionTest {
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-1\r\nContent-Length: 0\r\n\r\n";
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpUpstreamSender sender = new HttpUpstreamSender(clock);
    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket server;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    @AfterEach
    void stop() throws IOException {
        sender.close();
        server.close();
    }

    @Test
    void nonIdempotentRequestUsesNewConnection() {
        assertThat(send(true, LONG_TIMEOUT)).isEqualTo(AttemptOutcome.Kind.COMPLETE);

        assertThat(send(false, LONG_TIMEOUT)).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(send(false, LONG_TIMEOUT)).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(connections).hasValue(3);
    }

    @Test
    void timeoutOnUnresponsiveConnectionDropsPool() {
        assertThat(send(true, LONG_TIMEOUT)).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(send(true, Duration.ofMillis(500))).isEqualTo(AttemptOutcome.Kind.TIMED_OUT);

        assertThat(send(true, LONG_TIMEOUT)).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(connections).hasValue(2);
    }

    private AttemptOutcome.Kind send(boolean idempotent, Duration deadline) {
        CallRequest request = new CallRequest(
                new RequestId("request-1"),
                new OfficeId("pressroom"),
                new CallerId("mari"),
                new ServiceId("ordering"),
                "GET",
                "/stock",
                List.of(),
                Payload.EMPTY,
                clock.nowNanos() + deadline.toNanos(),
                0,
                false,
                idempotent,
                Optional.empty());
        SocketAddress address = new SocketAddress("127.0.0.1", server.getLocalPort());
        return sender.send(new ValidLease(address), request, 100)
                .outcome()
                .toCompletableFuture()
                .join()
                .kind();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connections.incrementAndGet();
                startDaemon(() -> respondOnce(socket));
            } catch (IOException e) {
                // The test ended.
                return;
            }
        }
    }

    private static void respondOnce(Socket socket) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // The client disconnected.
            return;
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "silent-upstream");
        thread.setDaemon(true);
        thread.start();
    }
}
