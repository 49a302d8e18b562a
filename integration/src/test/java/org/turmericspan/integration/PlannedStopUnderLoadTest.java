package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Each node in turn is stopped as planned while callers that keep locate answers have long requests in flight. The
 * platform's list never says so: the nodes tell one another.
 */
final class PlannedStopUnderLoadTest {
    private static final int CALLERS = 6;
    private static final int WORK_MILLIS = 400;
    private static final int LONG_WORK_MILLIS = 3000;
    private static final Duration DEADLINE = Duration.ofSeconds(60);

    private final Map<TestCaller.Told, Integer> told = new ConcurrentHashMap<>();
    private volatile boolean done;

    @Test
    void noRequestIsCutByThePlannedStopOfEachNodeInTurn() throws InterruptedException {
        FleetPlan plan = FleetPlan.simple(3, 6).withNodeFlags(List.of("--locate-ttl", "1"));
        try (Fleet fleet = Fleet.start(plan);
                TestCaller caller = new TestCaller()) {
            fleet.warmUpstreams();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                callers.execute(() -> lookUp(fleet, caller));
            }
            for (FleetNode node : fleet.nodes()) {
                replace(fleet, caller, node);
            }
            done = true;
            callers.shutdown();
            assertThat(callers.awaitTermination(DEADLINE.toSeconds(), TimeUnit.SECONDS))
                    .isTrue();
            System.out.println("planned stops: told " + told);
            assertThat(told).containsKey(TestCaller.Told.ANSWERED);
            assertThat(told).doesNotContainKeys(TestCaller.Told.NOTHING, TestCaller.Told.UNKNOWN, TestCaller.Told.RAN);
            assertThat(killUnder(fleet, caller, fleet.nodes().get(0))).isEqualTo(TestCaller.Told.NOTHING);
        }
    }

    /** Shows that the caller sees a cut where the node does not stop as planned. */
    private static TestCaller.Told killUnder(Fleet fleet, TestCaller caller, FleetNode node) {
        CompletableFuture<TestCaller.Told> longCall =
                CompletableFuture.supplyAsync(() -> caller.lookup(node.callerUrl(), LONG_WORK_MILLIS));
        Await.until("the call is in flight", DEADLINE, () -> inFlight(fleet, node) > 0);
        node.process().kill();
        return longCall.join();
    }

    private static void replace(Fleet fleet, TestCaller caller, FleetNode node) {
        CompletableFuture<TestCaller.Told> longCall =
                CompletableFuture.supplyAsync(() -> caller.lookup(node.callerUrl(), LONG_WORK_MILLIS));
        Await.until("calls are in flight", DEADLINE, () -> inFlight(fleet, node) > 0);
        node.process().stop();
        assertThat(longCall.join()).isIn(TestCaller.Told.ANSWERED, TestCaller.Told.NOT_RUN);
        assertThat(node.process().exitCode()).isZero();
        node.process().start();
        fleet.awaitReady(node, DEADLINE);
    }

    private static int inFlight(Fleet fleet, FleetNode node) {
        JsonNode state = fleet.http().getJson(node.operatorUrl() + "/v1/state");
        return state.at("/stop/calls_in_flight").asInt();
    }

    private void lookUp(Fleet fleet, TestCaller caller) {
        List<String> located = new ArrayList<>();
        long locatedUntilNanos = System.nanoTime();
        int turn = 0;
        while (!done) {
            if (System.nanoTime() >= locatedUntilNanos) {
                long askedNanos = System.nanoTime();
                JsonNode answer = locate(fleet);
                located = new ArrayList<>();
                for (JsonNode address : answer.path("addresses")) {
                    located.add(address.path("address").asText());
                }
                locatedUntilNanos = askedNanos
                        + Duration.ofMillis(answer.path("ttl_ms").asLong()).toNanos();
            }
            turn++;
            String address = located.get(turn % located.size());
            told.merge(caller.lookup("http://" + address, WORK_MILLIS), 1, Integer::sum);
        }
    }

    /** Asks the first node that answers, as a caller does that knows several. */
    private static JsonNode locate(Fleet fleet) {
        for (FleetNode node : fleet.nodes()) {
            try {
                return fleet.http().getJson(node.callerUrl() + "/v1/locate?service=ordering");
            } catch (RuntimeException e) {
                continue;
            }
        }
        throw new IllegalStateException("No node answers");
    }
}
