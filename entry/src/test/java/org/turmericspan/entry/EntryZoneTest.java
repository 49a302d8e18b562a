package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Runs entry nodes that share work between zones beside one that does not, while the callers of a zone ask for more
 * than its one server can do.
 */
class EntryZoneTest {
    private static final long TIMEOUT_MILLIS = 40_000;
    private static final int POLL_MILLIS = 50;
    private static final String SERVICE = "desk";
    private static final int CALLERS = 8;
    private static final long WORK_MILLIS = 100;
    private static final int REMOTE_SERVERS = 4;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Thread> callers = new ArrayList<>();
    private PlatformStandIn platform;
    private volatile boolean stopped;

    @BeforeEach
    void startNodes() throws Exception {
        platform = new PlatformStandIn();
        platform.configure(3, "/a/", "safe");
        platform.addServer("a-1", "zone-a").setWorkMillis(WORK_MILLIS);
        for (int i = 0; i < REMOTE_SERVERS; i++) {
            platform.addServer("b-" + i, "zone-b").setWorkMillis(WORK_MILLIS);
        }
        int port = 25_000 + (int) (ProcessHandle.current().pid() % 400) * 8;
        add(port, 1, "zone-a").with("zone-sharing=on").start();
        add(port, 2, "zone-b").with("zone-sharing=on").start();
        add(port, 3, "zone-b").start();
        for (NodeProcess node : nodes) {
            await("serves", () -> node.request("GET", "/a/warm", "w").status() == 200);
        }
    }

    private NodeProcess add(int port, int number, String zone) throws IOException {
        NodeProcess node = new NodeProcess("127.0.8." + number, zone, port, "127.0.8.1:1", platform.address());
        nodes.add(node);
        return node;
    }

    @AfterEach
    void stop() throws Exception {
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        for (NodeProcess node : nodes) {
            node.close();
        }
        platform.close();
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(expectation).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private void send(int caller) {
        for (int i = 0; !stopped; i++) {
            nodes.get(0).request("GET", "/a/" + caller, "c-" + caller + "-" + i);
        }
    }

    private static double leaving(NodeProcess node) {
        String percent = node.metric("zone_leaving_percent_" + SERVICE);
        return percent.isEmpty() ? 0 : Double.parseDouble(percent);
    }

    @Test
    void nodesTellEachOtherOfTheirZonesAndTheOverflowLeaves() throws Exception {
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Thread thread = new Thread(() -> send(caller), "caller-" + i);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
        NodeProcess local = nodes.get(0);
        await(
                "report of the other zone",
                () -> !local.metric("zone_report_age_ms_zone_b").isEmpty());
        await(
                "report at the other zone",
                () -> !nodes.get(1).metric("zone_report_age_ms_zone_a").isEmpty());
        await("overflow leaves", () -> leaving(local) > 20);
        assertThat(leaving(nodes.get(1))).isZero();
        assertThat(nodes.get(2).metric("zone_report_age_ms_zone_b")).isEmpty();
        assertThat(nodes.get(2).request("GET", "/a/plain", "p").status()).isEqualTo(200);
    }
}
