package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** What callers of an entry node get from upstreams that run each request and answer with a malformed head. */
class EntryBrokenHeadTest {
    /** Up to three rounds of all malformed heads at each of two servers; a server that fails is avoided for a time. */
    private static final int REQUESTS = 84;
    /** Below the deadline of the requests, which is 1,500 ms. */
    private static final long AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);
    private static final int HEALTH_CHECKS = 5;

    private final List<BrokenHeadServer> servers = new ArrayList<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(
                3, List.of(PlatformStandIn.route("/safe/", "safe"), PlatformStandIn.route("/unsafe/", "unsafe")));
        addServer();
        addServer();
        int port = 22_000 + (int) (ProcessHandle.current().pid() % 500) * 8;
        node = new NodeProcess("127.0.10.1", "zone-a", port, "127.0.10.1:1", platform.address()).start();
        awaitUntilServerRuns("w");
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        for (BrokenHeadServer server : servers) {
            server.close();
        }
        platform.close();
    }

    private void addServer() throws Exception {
        BrokenHeadServer server = new BrokenHeadServer("s-" + servers.size());
        servers.add(server);
        platform.register(server.id(), server.address(), "zone-a", "ready");
    }

    private int runs(String requestId) {
        return servers.stream()
                .mapToInt(server -> server.runs().getOrDefault(requestId, 0))
                .sum();
    }

    /** Repeats requests until one has run. */
    private void awaitUntilServerRuns(String requestId) throws InterruptedException {
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!node.isReady() || runs(requestId) == 0) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            node.request("GET", "/safe/" + requestId, requestId);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Guards against a promise that a request did not run, against a second run, and against a success. */
    @Test
    void nonIdempotentRequestGetsAnUnknownOutcomeAtOnce() {
        int run = 0;
        for (int i = 0; i < REQUESTS; i++) {
            long startNanos = System.nanoTime();
            Response response = node.request("POST", "/unsafe/" + i, "u-" + i);
            if (runs("u-" + i) > 0) {
                run++;
                assertThat(runs("u-" + i)).as("runs of request %s", i).isEqualTo(1);
                assertThat(response.status())
                        .as("request %s: %s", i, response.body())
                        .isEqualTo(502);
                assertThat(System.nanoTime() - startNanos)
                        .as("time of request %s", i)
                        .isLessThan(AT_ONCE_NANOS);
            }
        }
        assertThat(run).isGreaterThan(REQUESTS / 2);
        assertThat(node.logContains("malformed response")).isTrue();
    }

    @Test
    void idempotentRequestIsRetriedAndGetsNoMalformedResponse() {
        int retried = 0;
        for (int i = 0; i < REQUESTS; i++) {
            long startNanos = System.nanoTime();
            Response response = node.request("GET", "/safe/" + i, "s-" + i);
            if (runs("s-" + i) > 0) {
                assertThat(response.status())
                        .as("request %s: %s", i, response.body())
                        .isEqualTo(502);
                assertThat(System.nanoTime() - startNanos)
                        .as("time of request %s", i)
                        .isLessThan(AT_ONCE_NANOS);
            }
            retried += runs("s-" + i) > 1 ? 1 : 0;
        }
        assertThat(retried).isPositive();
    }

    /** Guards against the promise, at the deadline, that a request did not run whose response could not be read. */
    @Test
    void requestWhoseResponseReportsNoReadableLoadIsNotReportedAsNotRun() {
        servers.forEach(server -> server.respondWithLoad(","));
        long startNanos = System.nanoTime();
        Response response = node.request("POST", "/unsafe/load", "load");
        assertThat(runs("load")).isEqualTo(1);
        assertThat(response.status()).as(response.body()).isEqualTo(200);
        assertThat(System.nanoTime() - startNanos).isLessThan(AT_ONCE_NANOS);
    }

    /** Guards against a health check that passes although its response has no valid head. */
    @Test
    void serverWithMalformedHealthResponsesGetsNoRequests() throws Exception {
        for (String statusLine : List.of("HTTP/1.1 0200 OK", "HTTP/1.1 200 OK\r\nX A: 1")) {
            for (BrokenHeadServer server : servers) {
                server.setHealthStatusLine(statusLine);
                int before = server.healthChecks();
                long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
                while (server.healthChecks() < before + HEALTH_CHECKS) {
                    assertThat(System.nanoTime()).as("health checks").isLessThan(endNanos);
                    TimeUnit.MILLISECONDS.sleep(20);
                }
            }
            String requestId = "h-" + statusLine.length();
            for (int i = 0; i < HEALTH_CHECKS; i++) {
                assertThat(node.request("GET", "/safe/" + requestId, requestId).status())
                        .isEqualTo(503);
            }
            assertThat(runs(requestId)).isZero();
            servers.forEach(server -> server.setHealthStatusLine("HTTP/1.1 200 OK"));
            awaitUntilServerRuns("back-" + statusLine.length());
        }
    }
}
