package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** Stops an entry node by SIGTERM while callers go on sending requests to it until its process has ended. */
class EntryStopTest {
    private static final int CALLERS = 16;
    private static final long WORK_MILLIS = 300;
    /** Time from the signal to the request, before a node without requests ends. */
    private static final long LATE_MILLIS = 2_000;
    /** Time from the signal until the caller reads, in the part of the grace period that is left for responses. */
    private static final long READ_START_NANOS = TimeUnit.MILLISECONDS.toNanos(5_420);

    private static final int RECEIVE_BUFFER_BYTES = 65_536;
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final List<ServerStandIn> servers = new ArrayList<>();
    private final Queue<Sent> sentRequests = new ConcurrentLinkedQueue<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    /**
     * A request with its response.
     *
     * @param id identifier of the request
     * @param sinceStopMillis time from the stop signal until the request was sent
     * @param response the response
     */
    private record Sent(String id, long sinceStopMillis, Response response) {}

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(3, "/a/", "unsafe");
        for (int i = 0; i < 16; i++) {
            ServerStandIn server = platform.addServer("i-" + i, "zone-a");
            server.setWorkMillis(WORK_MILLIS);
            servers.add(server);
        }
        int port = 25_000 + (int) (ProcessHandle.current().pid() % 500) * 8;
        node = new NodeProcess("127.0.7.1", "zone-a", port, "127.0.7.1:1", platform.address()).start();
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (node.request("GET", "/a/warm", "w").status() != 200) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void stop() throws IOException {
        node.close();
        platform.close();
    }

    private void sendUntilProcessEnds(int caller, long stopNanos) {
        for (int i = 0; node.isAlive(); i++) {
            String id = "s-" + caller + "-" + i;
            long sinceStopMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
            Response response = node.request("POST", "/a/" + id, id, RESPONSE_TIMEOUT);
            sentRequests.add(new Sent(id, sinceStopMillis, response));
        }
    }

    private int runsOf(String id) {
        return servers.stream()
                .mapToInt(server -> server.runs().getOrDefault(id, 0))
                .sum();
    }

    /** Guards against requests that a stopping node passes on late and does not answer before its process ends. */
    @Test
    void eachRequestThatAStoppingNodePassesOnIsAnswered() throws Exception {
        long stopNanos = System.nanoTime();
        node.terminate();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Thread thread = new Thread(() -> sendUntilProcessEnds(caller, stopNanos), "caller-" + i);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        for (Thread thread : callers) {
            thread.join();
        }

        List<Sent> lost = sentRequests.stream()
                .filter(sent -> sent.response().status() == 0 && runsOf(sent.id()) > 0)
                .toList();
        List<Sent> wronglyRefused = sentRequests.stream()
                .filter(sent -> sent.response().status() == 503 && runsOf(sent.id()) > 0)
                .toList();
        assertThat(lost).isEmpty();
        assertThat(wronglyRefused).isEmpty();
        assertThat(sentRequests.stream()
                        .filter(sent -> sent.response().status() == 200)
                        .count())
                .as("requests served during the stop")
                .isGreaterThan(CALLERS);
    }

    /** Guards against a response that is cut because its caller reads it when the process is about to end. */
    @Test
    void largeResponseIsSentBeforeTheProcessEnds() throws Exception {
        int length = 12_000_000;
        servers.forEach(server -> server.setResponseBytes(length));
        long stopNanos = System.nanoTime();
        node.terminate();
        TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setSoTimeout((int) RESPONSE_TIMEOUT.toMillis());
            socket.connect(new InetSocketAddress(
                    node.callerAddress().host(), node.callerAddress().port()));
            socket.getOutputStream()
                    .write(("GET /a/large HTTP/1.1\r\nHost: h.example\r\nTurmericspan-Request-Id: large\r\n"
                                    + "Turmericspan-Deadline-Ms: 1500\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            TimeUnit.NANOSECONDS.sleep(stopNanos + READ_START_NANOS - System.nanoTime());
            assertThat(socket.getInputStream().readAllBytes().length).isGreaterThan(length);
        }
    }
}
