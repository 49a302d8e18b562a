package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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

/** Guards against responses that are formed with bytes which an upstream sent behind an earlier response. */
final class LeftoverBytesTest {
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-1\r\nContent-Length: 1\r\n\r\n%d";
    private static final long TIMEOUT_NANOS = 5_000_000_000L;
    private static final long PAUSE_MILLIS = 100;

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket server;
    private volatile String leftover;
    private volatile long leftoverDelayMillis;

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

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = server.accept();
                connections.incrementAndGet();
                startDaemon(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test ended.
            return;
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.isEmpty()) {
                    respond(connection, requests.incrementAndGet());
                }
            }
        } catch (IOException e) {
            // The client disconnected.
            return;
        }
    }

    private void respond(Socket connection, int number) throws IOException {
        String response = RESPONSE.formatted(number);
        boolean isFirst = number == 1;
        if (isFirst && leftoverDelayMillis == 0) {
            response += leftover;
        }
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        if (isFirst && leftoverDelayMillis > 0) {
            pause(leftoverDelayMillis);
            connection.getOutputStream().write(leftover.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static void pause(long millis) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private String send() {
        CallRequest request = new CallRequest(
                new RequestId("request-1"),
                new OfficeId("pressroom"),
                new CallerId("mari"),
                new ServiceId("ordering"),
                "GET",
                "/stock",
                List.of(),
                Payload.EMPTY,
                System.nanoTime() + TIMEOUT_NANOS,
                0,
                false,
                true,
                Optional.empty());
        SocketAddress address = new SocketAddress("127.0.0.1", server.getLocalPort());
        AttemptOutcome outcome = sender.send(new ValidLease(address), request, 100)
                .outcome()
                .toCompletableFuture()
                .join();
        return outcome.kind() + " " + new String(outcome.answer().body().bytes(), StandardCharsets.US_ASCII);
    }

    @Test
    void connectionWithoutLeftoverBytesIsReused() {
        leftover = "";
        assertThat(send()).isEqualTo("COMPLETE 1");
        assertThat(send()).isEqualTo("COMPLETE 2");
        assertThat(connections).hasValue(1);
    }

    /** A late copy bears the request identifier, which the caller may use again. */
    @Test
    void copyBehindResponseIsNotTheNextResponse() {
        leftover = RESPONSE.formatted(1);
        assertThat(send()).isEqualTo("COMPLETE 1");
        assertThat(send()).isEqualTo("COMPLETE 2");
        assertThat(connections).hasValue(2);
    }

    @Test
    void partOfHeadBehindResponseDoesNotBreakTheNextRequest() {
        leftover = "HTTP/1.1 503 St";
        assertThat(send()).isEqualTo("COMPLETE 1");
        assertThat(send()).isEqualTo("COMPLETE 2");
        assertThat(connections).hasValue(2);
    }

    @Test
    void copyOnIdleConnectionIsNotTheNextResponse() throws Exception {
        leftover = RESPONSE.formatted(1);
        leftoverDelayMillis = PAUSE_MILLIS;
        assertThat(send()).isEqualTo("COMPLETE 1");
        pause(3 * PAUSE_MILLIS);
        assertThat(send()).isNotEqualTo("COMPLETE 1");
        assertThat(send()).startsWith("COMPLETE ").isNotEqualTo("COMPLETE 1");
        assertThat(connections).hasValue(2);
    }
}
