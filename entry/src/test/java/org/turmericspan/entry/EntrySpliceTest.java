package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** What callers of an entry node see of upstreams that cut a success by a server error for the same request. */
class EntrySpliceTest {
    private static final int REQUESTS = 24;
    private static final long LATE_MILLIS = 40;
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final List<SplicingServer> servers = new ArrayList<>();
    private PlatformStandIn platform;
    private NodeProcess node;

    @BeforeEach
    void startNode() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(
                3, List.of(PlatformStandIn.route("/safe/", "safe"), PlatformStandIn.route("/unsafe/", "unsafe")));
        addServer(0);
        addServer(LATE_MILLIS);
        int port = 26_000 + (int) (ProcessHandle.current().pid() % 500) * 8;
        node = new NodeProcess("127.0.7.2", "zone-a", port, "127.0.7.2:1", platform.address()).start();
        long endNanos = System.nanoTime() + READY_TIMEOUT_NANOS;
        while (!node.isReady() || runs("w") == 0) {
            assertThat(System.nanoTime()).as("serves").isLessThan(endNanos);
            node.request("GET", "/safe/w", "w");
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    @AfterEach
    void stop() throws Exception {
        node.close();
        for (SplicingServer server : servers) {
            server.close();
        }
        platform.close();
    }

    private void addServer(long delayMillis) throws Exception {
        SplicingServer server = new SplicingServer("s-" + servers.size(), delayMillis);
        servers.add(server);
        platform.register(server.id(), server.address(), "zone-a", "ready");
    }

    private int runs(String requestId) {
        return servers.stream()
                .mapToInt(server -> server.runs().getOrDefault(requestId, 0))
                .sum();
    }

    /** Guards against a success whose body ends with the head of a server error. */
    @Test
    void nonIdempotentRequestGetsAnUnknownOutcome() throws Exception {
        int run = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Response response = node.request("POST", "/unsafe/" + i, "u-" + i);
            assertThat(runs("u-" + i)).isLessThanOrEqualTo(1);
            if (runs("u-" + i) > 0) {
                run++;
                assertThat(response.status()).as(response.body()).isEqualTo(502);
            }
        }
        assertThat(run).isGreaterThan(REQUESTS / 2);
        assertThat(node.logContains("response body contains the start of another response"))
                .isTrue();
        assertThat(Double.parseDouble(node.metric("response_bodies_spliced"))).isGreaterThanOrEqualTo(run);
        for (String metric : List.of(
                "response_heads_spliced",
                "responses_held",
                "responses_skipped",
                "responses_with_bytes_after",
                "connections_with_unexpected_bytes")) {
            assertThat(node.metric(metric)).as(metric).isNotEmpty();
        }
    }

    @Test
    void idempotentRequestIsRetriedAndNeverGetsASuccess() {
        int retried = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Response response = node.request("GET", "/safe/" + i, "s-" + i);
            if (runs("s-" + i) > 0) {
                assertThat(response.status()).as(response.body()).isIn(502, 504);
            }
            retried += runs("s-" + i) > 1 ? 1 : 0;
        }
        assertThat(retried).isPositive();
    }
}
