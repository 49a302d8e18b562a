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

/** Runs entry nodes as processes and sends more requests of a tenant than its cap allows. */
class EntryCapTest {
    private static final long TIMEOUT_MILLIS = 40_000;
    private static final int POLL_MILLIS = 20;
    /** Time for the shards to fill after the last node has joined. */
    private static final long SETTLE_MILLIS = 5_000;

    private static final String KEY = "key-of-tenant-t-000001";
    private static final int REQUESTS = 90;
    private static final int OK = 200;
    private static final int TOO_MANY = 429;
    /** Requests that the formula allows in a window of 5 s: (5 * 5 + 5) * 1.25. */
    private static final int BOUND = 37;

    private final List<NodeProcess> nodes = new ArrayList<>();
    private PlatformStandIn platform;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = new PlatformStandIn();
        platform.configure(3, "/a/", "safe");
        platform.addServer("i-1", "zone-a");
        platform.addServer("i-2", "zone-a");
    }

    @AfterEach
    void stop() throws IOException {
        for (NodeProcess node : nodes) {
            node.close();
        }
        platform.close();
    }

    /** Activates a configuration with one route and one tenant with a cap of five a second and a burst of five. */
    private void configureCap(long version) {
        platform.put(
                "op/config",
                "{\"Version\":" + version + ",\"Routes\":[" + PlatformStandIn.route("/a/", "safe") + "],"
                        + "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,"
                        + "\"WarmupS\":1,\"WarmupPerS\":5}],"
                        + "\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":[\"" + KEY
                        + "\"],\"RatePerS\":5,\"Burst\":5}],"
                        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":65536,"
                        + "\"HeaderTimeoutS\":5,\"IdleTimeoutS\":30}}");
    }

    private void startNodes(int count, List<String> settings) throws Exception {
        int gossipPort = 28_100 + (int) (ProcessHandle.current().pid() % 400) * 8;
        for (int i = 1; i <= count; i++) {
            String host = "127.0.17." + i;
            List<String> lines = new ArrayList<>(settings);
            lines.add("cap-address=" + host + ":" + (gossipPort + 5));
            nodes.add(new NodeProcess(host, "zone-a", gossipPort, "127.0.17.1:1", platform.address())
                    .withSettings(lines)
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
        }
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(expectation).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Test
    void nodesTogetherKeepTheCapAndTellCallersWhenToReturn() throws Exception {
        configureCap(4);
        startNodes(3, List.of("cap-window-seconds=5", "cap-overage=0.25", "cap-slack=0", "first-start=true"));
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);

        int served = 0;
        int refused = 0;
        long startNanos = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            int status = nodes.get(i % nodes.size())
                    .requestWithKey("/a/" + i, "c-" + i, KEY)
                    .status();
            served += status == OK ? 1 : 0;
            refused += status == TOO_MANY ? 1 : 0;
        }
        double seconds = (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);

        assertThat(served).isGreaterThanOrEqualTo(5).isLessThanOrEqualTo((int) (BOUND * Math.max(1, seconds / 5)));
        assertThat(served + refused).isEqualTo(REQUESTS);
        assertThat(nodes.get(0).state()).contains("tenant t rate=5.0 burst=5.0 holders=[127.0.17.");
        assertThat(nodes.get(0).metric("cap_over_cap_t_total")).isNotEmpty();
    }

    @Test
    void nodesWithoutSettingsOfCapsKeepNone() throws Exception {
        configureCap(4);
        startNodes(1, List.of("cap-window-seconds=", "cap-overage=", "cap-slack="));
        for (int i = 0; i < 20; i++) {
            assertThat(nodes.get(0).requestWithKey("/a/" + i, "n-" + i, KEY).status())
                    .isEqualTo(OK);
        }
        assertThat(nodes.get(0).state()).doesNotContain("tenant ");
    }
}
