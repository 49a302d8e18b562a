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

/**
 * Guards against orders that run twice and against orders that ran although a node reported that they did not. Both
 * come about when a caller sends the same order again through other nodes while nodes crash or pause and connections
 * are cut or go silent.
 */
final class OrdersUnderFaultsTest {
    private static final long SEED = 5;
    private static final int CALLERS = 12;
    private static final int SENDS_PER_ORDER = 4;
    private static final Duration FAULT_INJECTION_TIME = Duration.ofSeconds(12);
    private static final Duration FAULT_INTERVAL = Duration.ofMillis(300);
    private static final Duration FREEZE_TIME = Duration.ofMillis(600);
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(60);

    private final Map<String, Set<TestCaller.ObservedOutcome>> outcomesByOrder = new ConcurrentHashMap<>();
    private volatile boolean done;

    @Test
    void noOrderRunsTwiceAndNoneReportedAsNotRunHasRun() throws InterruptedException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(4, 8).proxied());
                TestCaller caller = new TestCaller()) {
            fleet.warmUpstreams();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                String orderPrefix = "order-" + i + "-";
                Random random = new Random(SEED + i);
                callers.execute(() -> sendOrders(fleet, caller, orderPrefix, random));
            }
            injectFaults(fleet, new Random(SEED));
            done = true;
            callers.shutdown();
            assertThat(callers.awaitTermination(WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS))
                    .isTrue();
            Await.until(
                    "upstreams report no more finished than started runs",
                    WAIT_LIMIT,
                    () -> fleet.witnessSum("started") >= fleet.witnessSum("finished"));
            verifyOutcomes(runsByOrder(fleet));
        }
    }

    /** Verifies the check itself: without run tokens nothing prevents a second run, and the upstreams count it. */
    @Test
    void duplicateOrderWithoutRunTokenRunsTwice() {
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
            fleet.awaitInForce(WAIT_LIMIT);
            fleet.warmUpstreams();
            for (FleetNode node : fleet.nodes()) {
                Await.until(
                        "the draft is answered",
                        WAIT_LIMIT,
                        () -> caller.order(node.callerUrl(), "/drafts", "draft", Optional.empty())
                                == TestCaller.ObservedOutcome.ANSWERED);
            }
            assertThat(runsByOrder(fleet).path("draft").asInt()).isEqualTo(2);
        }
    }

    private void sendOrders(Fleet fleet, TestCaller caller, String orderPrefix, Random random) {
        List<FleetNode> nodes = fleet.nodes();
        for (int i = 0; !done; i++) {
            Optional<String> token = caller.createToken(nodes.get(random.nextInt(nodes.size())));
            if (token.isPresent()) {
                sendDuplicates(nodes, caller, orderPrefix + i, token, random);
            }
        }
    }

    /** Sends the same order several times through random nodes, also after a response, as an impatient caller does. */
    private void sendDuplicates(
            List<FleetNode> nodes, TestCaller caller, String order, Optional<String> token, Random random) {
        Set<TestCaller.ObservedOutcome> outcomes = EnumSet.noneOf(TestCaller.ObservedOutcome.class);
        outcomesByOrder.put(order, outcomes);
        for (int send = 0; send < SENDS_PER_ORDER; send++) {
            FleetNode node = nodes.get(random.nextInt(nodes.size()));
            outcomes.add(caller.order(node.callerUrl(), "/orders?work_ms=5", order, token));
        }
    }

    private static void injectFaults(Fleet fleet, Random random) {
        long endNanos = System.nanoTime() + FAULT_INJECTION_TIME.toNanos();
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(FAULT_INTERVAL.toNanos());
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
                    LockSupport.parkNanos(FREEZE_TIME.toNanos());
                    node.process().thaw();
                }
                case 2 -> fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + upstream.linkPort());
                case 3 -> fleet.http().post(fleet.proxyControlUrl() + "/control/silence?port=" + upstream.linkPort());
                default -> fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + node.peerLinkPort());
            }
        }
    }

    private void verifyOutcomes(JsonNode runsByOrder) {
        List<String> ranTwice = new ArrayList<>();
        List<String> reportedNotRunButRan = new ArrayList<>();
        List<String> answeredButDidNotRun = new ArrayList<>();
        Map<TestCaller.ObservedOutcome, Integer> counts = new ConcurrentHashMap<>();
        outcomesByOrder.forEach((order, outcomes) -> {
            int ran = runsByOrder.path(order).asInt();
            outcomes.forEach(outcome -> counts.merge(outcome, 1, Integer::sum));
            if (ran > 1) {
                ranTwice.add(order);
            }
            if (ran > 0 && outcomes.contains(TestCaller.ObservedOutcome.NOT_RUN)) {
                reportedNotRunButRan.add(order);
            }
            if (ran == 0 && outcomes.contains(TestCaller.ObservedOutcome.ANSWERED)) {
                answeredButDidNotRun.add(order);
            }
        });
        System.out.println(
                "orders: " + outcomesByOrder.size() + " sent, " + runsByOrder.size() + " ran, outcomes " + counts);
        assertThat(ranTwice).as("ran twice").isEmpty();
        assertThat(reportedNotRunButRan).as("reported as not run, but ran").isEmpty();
        assertThat(answeredButDidNotRun).as("answered, but did not run").isEmpty();
        assertThat(counts).containsKeys(TestCaller.ObservedOutcome.ANSWERED, TestCaller.ObservedOutcome.UNKNOWN);
    }

    private static JsonNode runsByOrder(Fleet fleet) {
        return fleet.http().getJson(fleet.upstreamControlUrl() + "/control/orders");
    }
}
