package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/** Runs entry nodes as processes against a simulated platform on loopback. */
class EntryFleetTest {
    private static final long TIMEOUT_MILLIS = 40_000;
    private static final int POLL_MILLIS = 20;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<ServerStandIn> servers = new ArrayList<>();
    private PlatformStandIn platform;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = new PlatformStandIn();
        platform.configure(3, "/a/", "safe");
        servers.add(platform.addServer("i-1", "zone-a"));
        servers.add(platform.addServer("i-2", "zone-b"));
    }

    @AfterEach
    void stop() throws IOException {
        for (NodeProcess node : nodes) {
            node.close();
        }
        platform.close();
    }

    private void startNodes(int count) throws Exception {
        int gossipPort = firstPort();
        for (int i = 1; i <= count; i++) {
            String zone = i % 2 == 1 ? "zone-a" : "zone-b";
            nodes.add(new NodeProcess("127.0.7." + i, zone, gossipPort, "127.0.7.1:1,127.0.7.99:1", platform.address())
                    .start());
        }
        for (NodeProcess node : nodes) {
            await("ready", node::isReady);
            await(
                    "joined",
                    () -> node.state()
                                    .lines()
                                    .filter(line -> line.startsWith("member"))
                                    .count()
                            == count);
            await("serves", () -> node.request("GET", "/a/warm", "w").status() == 200);
        }
    }

    /** Returns the first of eight ports below the ephemeral range, so that no outgoing connection can occupy them. */
    private static int firstPort() {
        return 20_000 + (int) (ProcessHandle.current().pid() % 1_000) * 8;
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(expectation).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private int runsOf(String id) {
        return servers.stream()
                .mapToInt(server -> server.runs().getOrDefault(id, 0))
                .sum();
    }

    @Test
    void takenMetricsAddressDoesNotPreventANodeFromServing() throws Exception {
        NodeProcess node = new NodeProcess("127.0.7.1", "zone-a", firstPort(), "127.0.7.1:1", platform.address());
        nodes.add(node);
        try (ServerSocket taken = new ServerSocket(
                node.metricsAddress().port(),
                1,
                InetAddress.getByName(node.metricsAddress().host()))) {
            node.start();

            await("serves", () -> node.request("GET", "/a/1", "m").status() == 200);
            assertThat(taken.isBound()).isTrue();
        }
    }

    @Test
    void fleetServesRequestsAndResolvesNodesOfTheCallersZone() throws Exception {
        startNodes(4);
        Response response = nodes.get(3).request("GET", "/a/1", "q-1");
        assertThat(response.status()).isEqualTo(200);
        assertThat(runsOf("q-1")).isEqualTo(1);
        assertThat(nodes.get(0).resolve("zone-b"))
                .contains("127.0.7.2", "127.0.7.4")
                .doesNotContain("127.0.7.1:");
        assertThat(nodes.get(0).request("GET", "/none/1", "q-2").status()).isEqualTo(404);
    }

    @Test
    void newConfigurationReplacesTheOldOnEveryNode() throws Exception {
        startNodes(3);
        platform.configure(9, "/b/", "safe");
        for (NodeProcess node : nodes) {
            await("new route", () -> node.request("GET", "/b/1", "n").status() == 200);
            assertThat(node.request("GET", "/a/1", "o").status()).isEqualTo(404);
        }
    }

    @Test
    void killedNodeIsNoLongerResolved() throws Exception {
        startNodes(4);
        nodes.get(1).kill();
        await("no longer resolved", () -> !nodes.get(0).resolve("zone-b").contains("127.0.7.2:"));
        assertThat(nodes.get(0).resolve("zone-b")).contains("127.0.7.4");
    }

    @Test
    void drainingServerGetsNoNewRequests() throws Exception {
        startNodes(2);
        platform.register(servers.get(0), "zone-a", "draining");
        for (NodeProcess node : nodes) {
            await("draining", () -> node.state().contains("draining=true"));
        }
        for (int i = 0; i < 20; i++) {
            assertThat(nodes.get(i % 2).request("GET", "/a/d", "d-" + i).body()).isEqualTo("i-2");
        }
    }

    @Test
    void evacuatedZoneGetsNoRequestsUntilTheEvacuationEnds() throws Exception {
        startNodes(2);
        platform.put("op/evacuate/zone-a", "{}");
        await("evacuated", () -> nodes.get(0).logContains("Evacuated zones changed."));
        await("evacuated on the second node", () -> nodes.get(1).logContains("Evacuated zones changed."));
        for (int i = 0; i < 20; i++) {
            assertThat(nodes.get(i % 2).request("GET", "/a/e", "e-" + i).body()).isEqualTo("i-2");
        }
        platform.remove("op/evacuate/zone-a");
        await(
                "evacuation ended",
                () -> nodes.get(0).request("GET", "/a/f", "f").body().equals("i-1"));
    }

    @Test
    void plannedStopCompletesRunningRequests() throws Exception {
        servers.forEach(server -> server.setWorkMillis(700));
        startNodes(2);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String id = "s-" + i;
            responses.add(CompletableFuture.supplyAsync(() -> nodes.get(0).request("POST", "/a/s", id)));
        }
        await("running", () -> runsOf("s-0") + runsOf("s-1") + runsOf("s-2") + runsOf("s-3") > 0);
        nodes.get(0).terminate();
        await("not ready", () -> !nodes.get(0).isReady());
        for (CompletableFuture<Response> response : responses) {
            Response received = response.get(30, TimeUnit.SECONDS);
            assertThat(received.status()).as(received.body()).isEqualTo(200);
        }
        assertThat(nodes.get(0).awaitExit()).isTrue();
    }

    @Test
    void storeThatIsAwayDoesNotInterruptServiceAndARestartedNodeServesAgain() throws Exception {
        startNodes(3);
        platform.rejectReads(503);
        TimeUnit.SECONDS.sleep(3);
        for (NodeProcess node : nodes) {
            assertThat(node.request("GET", "/a/1", "x").status()).isEqualTo(200);
        }
        platform.rejectReads(0);
        nodes.get(2).kill();
        assertThat(nodes.get(2).awaitExit()).isTrue();
        nodes.get(2).start();
        await(
                "restarted node serves",
                () -> nodes.get(2).request("GET", "/a/1", "y").status() == 200);
    }

    @Test
    void nonIdempotentRequestsRunOnceWhileServersShedAndNodesDie() throws Exception {
        startNodes(3);
        platform.configure(5, "/a/", "unsafe");
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        // A server that does not shed can run four requests; the limit slows the test down on a slow machine instead.
        Semaphore inFlight = new Semaphore(4);
        for (int i = 0; i < 120; i++) {
            assertThat(inFlight.tryAcquire(40, TimeUnit.SECONDS)).isTrue();
            String id = "u-" + i;
            NodeProcess node = nodes.get(i % 3);
            servers.get(0).setShedding(i % 40 > 20);
            if (i == 60) {
                nodes.get(2).kill();
            }
            responses.add(CompletableFuture.supplyAsync(() -> node.request("POST", "/a/u", id))
                    .whenComplete((response, failure) -> inFlight.release()));
            TimeUnit.MILLISECONDS.sleep(10);
        }
        Map<String, Integer> statuses = new HashMap<>();
        for (int i = 0; i < 120; i++) {
            Response response = responses.get(i).get(40, TimeUnit.SECONDS);
            int status = response.status();
            statuses.merge(status == 503 ? "503 " + response.body() : Integer.toString(status), 1, Integer::sum);
            int runs = runsOf("u-" + i);
            assertThat(runs).as("runs of u-" + i).isLessThanOrEqualTo(1);
            if (status == 200) {
                assertThat(runs).isEqualTo(1);
            } else if (status == 503) {
                assertThat(runs).isZero();
            }
        }
        assertThat(statuses.get("200")).as(statuses.toString()).isGreaterThan(60);
    }

    @Test
    void hangUpSignalReadsTheSettingsAndKeepsServing() throws Exception {
        startNodes(1);
        nodes.get(0).signal("HUP");
        await("read", () -> nodes.get(0).logContains("Settings read."));
        assertThat(nodes.get(0).request("GET", "/a/1", "h").status()).isEqualTo(200);
    }

    @Test
    void changedSettingsAreReadWithoutASignal() throws Exception {
        startNodes(1);
        nodes.get(0).changeSeeds("127.0.7.50:1");
        await("read", () -> nodes.get(0).logContains("127.0.7.50"));
        assertThat(nodes.get(0).request("GET", "/a/1", "c").status()).isEqualTo(200);
    }
}
