package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Orders are repeated through all nodes while nodes are killed and frozen and links are cut. */
final class OrdersUnderFaultsTest {
    private static final long SEED = 5;
    private static final int CALLERS = 12;
    private static final int MAX_SENDS = 4;
    private static final Duration FAULTS_FOR = Duration.ofSeconds(12);
    private static final Duration FAULT_PAUSE = Duration.ofMillis(300);
    private static final Duration FREEZE = Duration.ofMillis(600);
    private static final Duration DEADLINE = Duration.ofSeconds(60);

    private final Map<String, Set<TestCaller.Told>> toldByOrder = new ConcurrentHashMap<>();
    private volatile boolean done;

    @Test
    void noOrderRunsTwiceAndNoneToldNotRunRan() throws InterruptedException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(4, 8).proxied());
                TestCaller caller = new TestCaller()) {
            fleet.warmUpstreams();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                String name = "order-" + i + "-";
                Random random = new Random(SEED + i);
                callers.execute(() -> sendOrders(fleet, caller, name, random));
            }
            injectFaults(fleet, new Random(SEED));
            done = true;
            callers.shutdown();
            assertThat(callers.awaitTermination(DEADLINE.toSeconds(), TimeUnit.SECONDS))
                    .isTrue();
            Await.until(
                    "all runs have ended", DEADLINE, () -> fleet.witnessSum("started") >= fleet.witnessSum("finished"));
            verify(runs(fleet));
        }
    }

    /** Shows that the witness sees a second run where nothing prevents it. */
    @Test
    void withoutTokensARepeatedOrderRunsTwice() {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(2, 4));
                TestCaller caller = new TestCaller()) {
            fleet.published()
                    .put(
                            "Rule",
                            "drafts",
                            List.of(
                                    "\"service\": \"ordering\"",
                                    "\"method\": \"POST\"",
                                    "\"path_prefix\": \"/drafts\"",
                                    "\"token_required\": false"));
            fleet.publish();
            fleet.awaitInForce(DEADLINE);
            fleet.warmUpstreams();
            for (FleetNode node : fleet.nodes()) {
                Await.until(
                        "the draft is answered",
                        DEADLINE,
                        () -> caller.order(node.callerUrl(), "/drafts", "draft", Optional.empty())
                                == TestCaller.Told.ANSWERED);
            }
            assertThat(runs(fleet).path("draft").asInt()).isEqualTo(2);
        }
    }

    private void sendOrders(Fleet fleet, TestCaller caller, String name, Random random) {
        List<FleetNode> nodes = fleet.nodes();
        for (int i = 0; !done; i++) {
            Optional<String> token = caller.stampToken(nodes.get(random.nextInt(nodes.size())));
            if (token.isPresent()) {
                sendRepeatedly(nodes, caller, name + i, token, random);
            }
        }
    }

    /** Sends copies one after the other through any nodes, also after the answer, as an impatient caller does. */
    private void sendRepeatedly(
            List<FleetNode> nodes, TestCaller caller, String order, Optional<String> token, Random random) {
        Set<TestCaller.Told> told = EnumSet.noneOf(TestCaller.Told.class);
        toldByOrder.put(order, told);
        for (int send = 0; send < MAX_SENDS; send++) {
            FleetNode node = nodes.get(random.nextInt(nodes.size()));
            told.add(caller.order(node.callerUrl(), "/orders?work_ms=5", order, token));
        }
    }

    private static void injectFaults(Fleet fleet, Random random) {
        long endNanos = System.nanoTime() + FAULTS_FOR.toNanos();
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(FAULT_PAUSE.toNanos());
            FleetNode node = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
            FleetUpstream upstream =
                    fleet.upstreams().get(random.nextInt(fleet.upstreams().size()));
            switch (random.nextInt(5)) {
                case 0 -> {
                    node.process().kill();
                    node.process().start();
                }
                case 1 -> {
                    node.process().freeze();
                    LockSupport.parkNanos(FREEZE.toNanos());
                    node.process().thaw();
                }
                case 2 -> fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + upstream.linkPort());
                case 3 -> fleet.http().post(fleet.proxyControlUrl() + "/control/silence?port=" + upstream.linkPort());
                default -> fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + node.peerLinkPort());
            }
        }
    }

    private void verify(JsonNode runs) {
        List<String> ranTwice = new ArrayList<>();
        List<String> toldNotRunButRan = new ArrayList<>();
        List<String> answeredButDidNotRun = new ArrayList<>();
        Map<TestCaller.Told, Integer> counts = new ConcurrentHashMap<>();
        toldByOrder.forEach((order, told) -> {
            int ran = runs.path(order).asInt();
            told.forEach(one -> counts.merge(one, 1, Integer::sum));
            if (ran > 1) {
                ranTwice.add(order);
            }
            if (ran > 0 && told.contains(TestCaller.Told.NOT_RUN)) {
                toldNotRunButRan.add(order);
            }
            if (ran == 0 && told.contains(TestCaller.Told.ANSWERED)) {
                answeredButDidNotRun.add(order);
            }
        });
        System.out.println("orders: " + toldByOrder.size() + " sent, " + runs.size() + " ran, told " + counts);
        assertThat(ranTwice).as("ran twice").isEmpty();
        assertThat(toldNotRunButRan).as("told not run, but ran").isEmpty();
        assertThat(answeredButDidNotRun).as("answered without a run").isEmpty();
        assertThat(counts).containsKeys(TestCaller.Told.ANSWERED, TestCaller.Told.UNKNOWN);
    }

    private static JsonNode runs(Fleet fleet) {
        return fleet.http().getJson(fleet.upstreamControlUrl() + "/control/orders");
    }
}
