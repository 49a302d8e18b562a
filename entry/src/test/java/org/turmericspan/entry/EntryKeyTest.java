package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.PersistentCaller.Exchange;
import org.turmericspan.entry.ServerStandIn.Arrival;

/** Callers with keys at entry nodes that run as processes. */
class EntryKeyTest {
    private static final String KEY = "secret-key-1";
    private static final String OTHER_KEY = "secret-key-2";
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(2);
    private static final long TIMEOUT_MILLIS = 40_000;
    private static final int POLL_MILLIS = 20;
    private static final int REQUESTS_IN_FLIGHT_MILLIS = 300;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private PlatformStandIn platform;
    private ServerStandIn server;

    @BeforeEach
    void start() throws Exception {
        platform = new PlatformStandIn();
        publish(3, PlatformStandIn.tenant("press", KEY), PlatformStandIn.tenant("mill", OTHER_KEY));
        server = platform.addServer("i-1", "zone-a");
        int gossipPort = 20_000 + (int) (ProcessHandle.current().pid() % 1_000) * 8;
        for (int i = 1; i <= 2; i++) {
            nodes.add(
                    new NodeProcess("127.0.13." + i, "zone-a", gossipPort, "127.0.13.1:1", platform.address()).start());
        }
        for (NodeProcess node : nodes) {
            await("serves", () -> get(node, KEY, "/a/warm") == 200);
        }
    }

    @AfterEach
    void stop() throws IOException {
        for (NodeProcess node : nodes) {
            node.close();
        }
        platform.close();
    }

    private void publish(long version, String... tenants) {
        platform.configure(
                version, List.of(PlatformStandIn.route("/a/", "safe")), "[" + String.join(",", tenants) + "]");
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(expectation).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static String headersOf(String key) {
        return "Authorization: Token " + key + "\r\nTurmericspan-Tenant-Id: forged\r\n";
    }

    private static int get(NodeProcess node, String key, String path) {
        try (PersistentCaller caller = new PersistentCaller(node.callerAddress(), headersOf(key))) {
            return caller.get(path, "once").status();
        }
    }

    @Test
    void serversSeeTheTenantAndNoKeyAppearsAnywhere() {
        for (NodeProcess node : nodes) {
            assertThat(get(node, KEY, "/a/" + node)).isEqualTo(200);
            assertThat(get(node, "secret-unknown", "/a/x")).isEqualTo(401);
        }
        for (Arrival arrival : server.arrivals()) {
            assertThat(arrival.headers().first("Turmericspan-Tenant-Id")).hasValue("press");
            assertThat(arrival.headers().toString()).doesNotContain("secret").doesNotContain("forged");
        }
        for (NodeProcess node : nodes) {
            assertThat(node.logContains("secret")).isFalse();
            assertThat(node.state()).doesNotContain("secret");
            assertThat(node.metrics()).doesNotContain("secret");
        }
    }

    /** Callers keep their open connections in use while their key is taken away. */
    @Test
    void keyTakenAwayIsRefusedInTimeOnOpenConnectionsAndNothingInFlightIsCut() {
        server.setWorkMillis(REQUESTS_IN_FLIGHT_MILLIS);
        List<PersistentCaller> callers = new ArrayList<>();
        try {
            for (NodeProcess node : nodes) {
                callers.add(new PersistentCaller(node.callerAddress(), headersOf(KEY)));
            }
            callers.forEach(
                    caller -> assertThat(caller.get("/a/before", "b").status()).isEqualTo(200));
            publish(4, PlatformStandIn.tenant("press"), PlatformStandIn.tenant("mill", OTHER_KEY));
            long publishedNanos = System.nanoTime();
            for (PersistentCaller caller : callers) {
                Exchange exchange = caller.get("/a/after", "a");
                while (exchange.status() == 200) {
                    assertThat(exchange.sentNanos() - publishedNanos).isLessThan(CHANGE_LIMIT.toNanos());
                    exchange = caller.get("/a/after", "a");
                }
                assertThat(exchange.status()).isEqualTo(401);
            }
            assertThat(get(nodes.get(0), OTHER_KEY, "/a/other")).isEqualTo(200);
        } finally {
            callers.forEach(PersistentCaller::close);
        }
    }

    @Test
    void keyMovedToAnotherTenantCountsForThatOne() throws Exception {
        publish(
                4,
                PlatformStandIn.tenant("press"),
                PlatformStandIn.tenant("foundry", KEY),
                PlatformStandIn.tenant("mill", OTHER_KEY));
        await("moved", () -> {
            get(nodes.get(0), KEY, "/a/moved");
            List<Arrival> arrivals = server.arrivals();
            return arrivals.get(arrivals.size() - 1)
                    .headers()
                    .first("Turmericspan-Tenant-Id")
                    .orElse("")
                    .equals("foundry");
        });
    }

    @Test
    void configurationInWhichTwoTenantsShareAKeyIsNotTaken() throws Exception {
        publish(4, PlatformStandIn.tenant("press", KEY), PlatformStandIn.tenant("foundry", KEY));
        // Only a node that reads the store itself gets the document; it does not pass it on.
        await("rejected", () -> nodes.stream().anyMatch(node -> node.logContains("share a key")));
        for (NodeProcess node : nodes) {
            assertThat(get(node, OTHER_KEY, "/a/still")).isEqualTo(200);
            assertThat(node.logContains("secret")).isFalse();
        }
    }
}
