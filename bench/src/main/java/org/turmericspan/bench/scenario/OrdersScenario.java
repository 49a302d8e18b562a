package org.turmericspan.bench.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.CallSpec;
import org.turmericspan.bench.load.HttpCalls;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.bench.load.RequestResult;
import org.turmericspan.standins.fleet.FleetNode;

/** Sends each order through several nodes while nodes are killed and frozen, and counts how often it ran. */
final class OrdersScenario {
    private static final double LOAD_SHARE = 0.3;
    private static final Duration WORK = Duration.ofMillis(10);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration FAULT_INTERVAL = Duration.ofSeconds(2);
    private static final Duration FREEZE_TIME = Duration.ofMillis(700);
    private static final int ORDERS_PERCENT = 100;
    private static final int SENDS = 3;
    private static final List<CallOutcome> LEAST_INFORMATIVE_FIRST = List.of(
            CallOutcome.FAILED,
            CallOutcome.REFUSED,
            CallOutcome.UNKNOWN,
            CallOutcome.SERVED,
            CallOutcome.SHORT,
            CallOutcome.CROSSED);

    Report run(BenchSettings settings) {
        Report report = new Report();
        String policy = settings.policies().get(0);
        double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK) / SENDS;
        report.addNote("load " + Math.round(rate) + " orders/s, each sent " + SENDS
                + " times at once through different nodes; a node is killed or frozen every "
                + FAULT_INTERVAL.toSeconds()
                + " s");
        Map<String, Boolean> reportedNotRun = new ConcurrentHashMap<>();
        try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                EventSchedule events = new EventSchedule()) {
            fleet.warmUp(rate, WORK);
            scheduleFaults(settings, fleet, events);
            LoadPlan plan = LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed())
                    .withOrders(ORDERS_PERCENT)
                    .withDeadline(DEADLINE);
            LoadResult result = OpenLoop.run(plan, spec -> sendDuplicates(fleet, spec, reportedNotRun));
            fleet.fleet().nodes().forEach(node -> node.process().thaw());
            report.of(policy).put(result);
            countRuns(report, policy, fleet, reportedNotRun);
        }
        return report;
    }

    private static void countRuns(
            Report report, String policy, PolicyFleet fleet, Map<String, Boolean> reportedNotRun) {
        JsonNode runs = fleet.fleet().http().getJson(fleet.fleet().upstreamControlUrl() + "/control/orders");
        long duplicates = 0;
        for (JsonNode count : runs) {
            duplicates += count.asInt() > 1 ? 1 : 0;
        }
        long falseNotRun = reportedNotRun.entrySet().stream()
                .filter(Map.Entry::getValue)
                .filter(order -> runs.has(order.getKey()))
                .count();
        report.addNote(runs.size() + " orders ran, " + reportedNotRun.size() + " were sent");
        report.of(policy).put(Measure.DUPLICATE_RUNS, duplicates);
        report.of(policy).put(Measure.FALSE_NOT_RUN, falseNotRun);
        report.addBound(Bound.atMost(policy + ": orders that ran more than once", 0, duplicates));
        report.addBound(Bound.atMost(policy + ": orders told not run that ran", 0, falseNotRun));
    }

    /**
     * Sends an order through several nodes at once under one run token. One response "not run" counts for all of them.
     */
    private static CompletableFuture<RequestResult> sendDuplicates(
            PolicyFleet fleet, CallSpec spec, Map<String, Boolean> reportedNotRun) {
        List<FleetNode> nodes = fleet.fleet().nodes();
        int first = (int) (spec.number() % nodes.size());
        CompletableFuture<String> token =
                fleet.caller().createToken(nodes.get(first).callerUrl(), spec);
        return token.thenCompose(runToken -> {
                    CompletableFuture<RequestResult> all = CompletableFuture.completedFuture(RequestResult.FAILED);
                    for (int i = 0; i < SENDS; i++) {
                        FleetNode node = nodes.get((first + i) % nodes.size());
                        CompletableFuture<RequestResult> single = send(fleet, node, spec, runToken);
                        all = all.thenCombine(
                                single.thenApply(callResult -> recordNotRun(spec, callResult, reportedNotRun)),
                                OrdersScenario::moreInformative);
                    }
                    return all;
                })
                .exceptionally(failure -> RequestResult.FAILED);
    }

    private static RequestResult recordNotRun(
            CallSpec spec, RequestResult callResult, Map<String, Boolean> reportedNotRun) {
        reportedNotRun.merge(HttpCalls.orderId(spec), callResult.outcome() == CallOutcome.REFUSED, Boolean::logicalOr);
        return callResult;
    }

    private static CompletableFuture<RequestResult> send(
            PolicyFleet fleet, FleetNode node, CallSpec spec, String token) {
        return fleet.calls().send(node.callerUrl() + "/v1/services/" + PolicyFleet.SERVICE, spec, token);
    }

    /** Returns the more informative result: a response, then an unknown outcome, then a refusal, last no response. */
    private static RequestResult moreInformative(RequestResult first, RequestResult second) {
        return rank(first) >= rank(second) ? first : second;
    }

    private static int rank(RequestResult callResult) {
        return LEAST_INFORMATIVE_FIRST.indexOf(callResult.outcome());
    }

    private static void scheduleFaults(BenchSettings settings, PolicyFleet fleet, EventSchedule events) {
        Random random = new Random(settings.seed());
        List<FleetNode> nodes = fleet.fleet().nodes();
        Duration offset = FAULT_INTERVAL;
        while (offset.compareTo(settings.duration()) < 0) {
            FleetNode node = nodes.get(random.nextInt(nodes.size()));
            if (random.nextBoolean()) {
                events.at(offset, () -> {
                    node.process().kill();
                    node.process().start();
                });
            } else {
                events.at(offset, () -> node.process().freeze());
                events.at(offset.plus(FREEZE_TIME), () -> node.process().thaw());
            }
            offset = offset.plus(FAULT_INTERVAL);
        }
    }
}
