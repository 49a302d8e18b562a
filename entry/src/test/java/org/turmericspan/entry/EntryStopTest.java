package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
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
}
