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
 * Guards against requests that a planned stop of a node breaks off. That comes about when callers still use cached
 * locate responses and have long requests in flight. The platform's list does not announce the stop: the nodes learn
 * of it only from one another.
 */
final class PlannedStopUnderLoadTest {
    private static final int CALLERS = 6;
    private static final int WORK_MILLIS = 400;
    private static final int LONG_WORK_MILLIS = 3000;
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(60);

    private final Map<TestCaller.ObservedOutcome, Integer> outcomes = new ConcurrentHashMap<>();
    private volatile boolean done;

    @Test
    void noRequestIsLostByThePlannedStopOfEachNodeInTurn() throws InterruptedException {
        FleetPlan plan = FleetPlan.simple(3, 6).withNodeFlags(List.of("--locate-ttl", "1"));
        try (Fleet fleet = Fleet.start(plan);
                TestCaller caller = new TestCaller()) {
            fleet.warmUpstreams();
            ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                callers.execute(() -> sendLookups(fleet, caller));
            }
            for (FleetNode node : fleet.nodes()) {
                restartDuringCall(fleet, caller, node);
            }
            done = true;
            callers.shutdown();
            assertThat(callers.awaitTermination(WAIT_LIMIT.toSeconds(), TimeUnit.SECONDS))
                    .isTrue();
            System.out.println("planned stops: outcomes " + outcomes);
            assertThat(outcomes).containsKey(TestCaller.ObservedOutcome.ANSWERED);
            assertThat(outcomes)
                    .doesNotContainKeys(
                            TestCaller.ObservedOutcome.NOTHING,
                            TestCaller.ObservedOutcome.UNKNOWN,
                            TestCaller.ObservedOutcome.RAN);
            assertThat(killDuringCall(fleet, caller, fleet.nodes().get(0)))
                    .isEqualTo(TestCaller.ObservedOutcome.NOTHING);
        }
    }

    /** Verifies the check itself: the caller loses the response when the node is killed instead of stopped. */
    private static TestCaller.ObservedOutcome killDuringCall(Fleet fleet, TestCaller caller, FleetNode node) {
        CompletableFuture<TestCaller.ObservedOutcome> longCall =
                CompletableFuture.supplyAsync(() -> caller.lookup(node.callerUrl(), LONG_WORK_MILLIS));
        Await.until("the call is in flight", WAIT_LIMIT, () -> inFlight(fleet, node) > 0);
        node.process().kill();
        return longCall.join();
    }

    private static void restartDuringCall(Fleet fleet, TestCaller caller, FleetNode node) {
        CompletableFuture<TestCaller.ObservedOutcome> longCall =
                CompletableFuture.supplyAsync(() -> caller.lookup(node.callerUrl(), LONG_WORK_MILLIS));
        Await.until("calls are in flight", WAIT_LIMIT, () -> inFlight(fleet, node) > 0);
        node.process().stop();
        assertThat(longCall.join()).isIn(TestCaller.ObservedOutcome.ANSWERED, TestCaller.ObservedOutcome.NOT_RUN);
        assertThat(node.process().exitCode()).isZero();
        node.process().start();
        fleet.awaitReady(node, WAIT_LIMIT);
    }

    private static int inFlight(Fleet fleet, FleetNode node) {
        JsonNode state = fleet.http().getJson(node.operatorUrl() + "/v1/state");
        return state.at("/stop/calls_in_flight").asInt();
    }

    private void sendLookups(Fleet fleet, TestCaller caller) {
        List<String> located = new ArrayList<>();
        long locatedUntilNanos = System.nanoTime();
        int callNumber = 0;
        while (!done) {
            if (System.nanoTime() >= locatedUntilNanos) {
                long requestedNanos = System.nanoTime();
                JsonNode response = locate(fleet);
                located = new ArrayList<>();
                for (JsonNode address : response.path("addresses")) {
                    located.add(address.path("address").asText());
                }
                locatedUntilNanos = requestedNanos
                        + Duration.ofMillis(response.path("ttl_ms").asLong()).toNanos();
            }
            callNumber++;
            String address = located.get(callNumber % located.size());
            outcomes.merge(caller.lookup("http://" + address, WORK_MILLIS), 1, Integer::sum);
        }
    }

    /** Returns the locate response of the first node that responds, as a caller does that knows several nodes. */
    private static JsonNode locate(Fleet fleet) {
        for (FleetNode node : fleet.nodes()) {
            try {
                return fleet.http().getJson(node.callerUrl() + "/v1/locate?service=ordering");
            } catch (RuntimeException e) {
                continue;
            }
        }
        throw new IllegalStateException("No node responded to the locate request");
    }
}
