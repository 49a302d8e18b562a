package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.assertj.core.api.SoftAssertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.NodeProcess.Response;

/**
 * Runs entry nodes as processes whose store comes back from an older copy, so that its revisions go back and are
 * assigned again. Guards against changes that were never in force after that, and against lists without a pause.
 */
class EntryRestoredStoreTest {
    private static final int NODES = 4;
    private static final int SERVERS = 6;
    private static final List<String> ZONES = List.of("zone-a", "zone-b");
    private static final long START_TIMEOUT_MILLIS = 40_000;
    private static final int POLL_MILLIS = 10;
    private static final int CALL_PAUSE_MILLIS = 10;
    private static final long AWAY_MILLIS = 400;
    private static final long REWRITE_MILLIS = 1_500;
    /** Time without a disturbance after which the limit of changes holds. */
    private static final long CONTACT_MILLIS = 3_000;
    /** Time after its confirmation within which a change must be in force on each node. */
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(2);
    /** Time after which a change counts as never in force. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(5);

    private static final int CHANGES = 3;
    private static final int MAX_LISTS = 50;
    private static final String FIRST_ROUTE = "/first/";

    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<ServerStandIn> servers = new ArrayList<>();
    private final List<String> routes = new ArrayList<>();
    private final List<Duration> changes = new ArrayList<>();
    private final List<Thread> callers = new ArrayList<>();
    private final SoftAssertions softly = new SoftAssertions();
    private final Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
    private volatile boolean isStopped;
    /** Route of the requests, which is in force on all nodes. */
    private volatile String calledRoute = FIRST_ROUTE;

    private PlatformStandIn platform;
    private StorePort storePort;
    private long version;

    @BeforeEach
    void startFleet() throws Exception {
        platform = new PlatformStandIn();
        platform.store().announceEra();
        storePort = new StorePort(platform);
        addRoute(FIRST_ROUTE);
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        // Below the ephemeral range, so that no outgoing connection can occupy them.
        int gossipPort = 19_000 + (int) (ProcessHandle.current().pid() % 100) * 8;
        for (int i = 0; i < NODES; i++) {
            nodes.add(new NodeProcess(
                            "127.0.9." + (i + 1), zone(i), gossipPort, "127.0.9.1:1,127.0.9.2:1", storePort.address())
                    .start());
        }
        for (NodeProcess node : nodes) {
            await("ready", node::isReady);
            await("joined", () -> countLines(node.state(), "member") == NODES);
            await("serves", () -> serves(node, FIRST_ROUTE));
        }
    }

    @AfterEach
    void stop() throws IOException {
        isStopped = true;
        for (NodeProcess node : nodes) {
            node.close();
        }
        storePort.close();
        platform.close();
    }

    private static String zone(int index) {
        return ZONES.get(index % ZONES.size());
    }

    private static long countLines(String text, String start) {
        return text.lines().filter(line -> line.startsWith(start)).count();
    }

    private static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(expectation).isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static boolean serves(NodeProcess node, String prefix) {
        return node.request("GET", prefix + "1", "s").status() == 200;
    }

    private ServerStandIn addServer() throws IOException {
        int index = servers.size();
        ServerStandIn server = platform.addServer("i-" + index, zone(index));
        servers.add(server);
        return server;
    }

    /** Publishes a new version of the configuration with one more route. */
    private void addRoute(String prefix) {
        routes.add(PlatformStandIn.route(prefix, "safe"));
        version += 2;
        platform.configure(version, routes);
    }

    private void startCallers() {
        for (NodeProcess node : nodes) {
            Thread thread = new Thread(() -> sendRequests(node), "caller-" + node);
            thread.setDaemon(true);
            thread.start();
            callers.add(thread);
        }
    }

    private void sendRequests(NodeProcess node) {
        try {
            while (!isStopped) {
                Response response = node.request("GET", calledRoute + "c", "c");
                statuses.merge(response.status(), 1, Integer::sum);
                TimeUnit.MILLISECONDS.sleep(CALL_PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes registrations to the store for a while, and halfway one more route and a draining state. */
    private void write(int count, long durationMillis, int drainingIndex) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            int index = i % SERVERS;
            if (i == count / 2) {
                addRoute("/before" + drainingIndex + "/");
                platform.register(servers.get(drainingIndex), zone(drainingIndex), "draining");
            } else if (index > drainingIndex) {
                platform.register(servers.get(index), zone(index), "ready");
            } else {
                platform.register(servers.get(SERVERS - 1), zone(SERVERS - 1), "ready");
            }
            TimeUnit.MILLISECONDS.sleep(durationMillis / count);
        }
        String route = "/before" + drainingIndex + "/";
        for (NodeProcess node : nodes) {
            await("change before", () -> serves(node, route));
            await("draining", () -> countDraining(node) == drainingIndex + 1);
        }
        calledRoute = route;
    }

    private static long countDraining(NodeProcess node) {
        return node.state()
                .lines()
                .filter(line -> line.contains("draining=true"))
                .count();
    }

    /** Lets the store come back from a copy after some writes, and changes the configuration after that. */
    private void restore(int writes, long copyAgeMillis, int drainingIndex) throws Exception {
        long copyNanos = System.nanoTime();
        write(writes, copyAgeMillis, drainingIndex);
        long drainedNanos = System.nanoTime();
        platform.store().leave();
        storePort.close();
        TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
        platform.store().restore(copyNanos);
        storePort.open();
        TimeUnit.MILLISECONDS.sleep(REWRITE_MILLIS);
        platform.store().writeLostItems();
        ServerStandIn later = addServer();
        TimeUnit.MILLISECONDS.sleep(CONTACT_MILLIS - REWRITE_MILLIS);
        for (int i = 0; i < CHANGES; i++) {
            changes.add(timeUntilInForce("/after" + drainingIndex + "-" + i + "/"));
        }
        softly.assertThat(later.arrivals())
                .as("requests to a server that registered after restoration " + drainingIndex)
                .isNotEmpty();
        softly.assertThat(servers.get(drainingIndex).arrivals().stream()
                        .filter(arrival -> arrival.atNanos() - drainedNanos > 0)
                        .count())
                .as("requests to a server that announced draining before restoration " + drainingIndex)
                .isZero();
    }

    private Duration timeUntilInForce(String prefix) throws InterruptedException {
        addRoute(prefix);
        long startNanos = System.nanoTime();
        for (NodeProcess node : nodes) {
            while (!serves(node, prefix) && System.nanoTime() - startNanos < CHANGE_TIMEOUT.toNanos()) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private void checkAtEnd() throws InterruptedException {
        isStopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        softly.assertThat(changes)
                .as("times until changes are in force on all nodes")
                .allMatch(change -> change.compareTo(CHANGE_LIMIT) <= 0);
        softly.assertThat(statuses).as("statuses of requests").containsOnlyKeys(200);
        softly.assertThat(platform.store().lists()).as("lists of the store").isLessThan(MAX_LISTS);
        softly.assertThat(nodes).as("running nodes").allMatch(NodeProcess::isAlive);
        System.out.println("restored store: changes " + changes + ", statuses " + statuses + ", lists "
                + platform.store().lists() + ", watches " + platform.store().watches());
        softly.assertAll();
    }

    @Test
    void changesAreInForceAfterTheStoreCameBackFromACopyWithFewerRevisions() throws Exception {
        startCallers();
        restore(60, 5_000, 0);
        checkAtEnd();
    }

    @Test
    void changesAreInForceAfterTheStoreCameBackFromACopyTwice() throws Exception {
        startCallers();
        restore(20, 2_000, 0);
        restore(20, 2_000, 1);
        checkAtEnd();
    }
}
