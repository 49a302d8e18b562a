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
import org.turmericspan.bench.load.CallEnd;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.CallSpec;
import org.turmericspan.bench.load.HttpCalls;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.standins.fleet.FleetNode;

/** Sends orders, repeats each through several nodes while nodes are killed and frozen, and counts the runs. */
final class OrdersScenario {
    private static final double LOAD_SHARE = 0.3;
    private static final Duration WORK = Duration.ofMillis(10);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration FAULT_PAUSE = Duration.ofSeconds(2);
    private static final Duration FREEZE = Duration.ofMillis(700);
    private static final int ORDERS_PERCENT = 100;
    private static final int SENDS = 3;
    private static final List<CallOutcome> BY_WEIGHT = List.of(
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
                + " times at once through different nodes; a node is killed or frozen every " + FAULT_PAUSE.toSeconds()
                + " s");
        Map<String, Boolean> toldNotRun = new ConcurrentHashMap<>();
        try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                Sidework events = new Sidework()) {
            fleet.warmUp(rate, WORK);
            planFaults(settings, fleet, events);
            LoadPlan plan = LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed())
                    .withOrders(ORDERS_PERCENT)
                    .withDeadline(DEADLINE);
            LoadResult result = OpenLoop.run(plan, spec -> sendRepeatedly(fleet, spec, toldNotRun));
            fleet.fleet().nodes().forEach(node -> node.process().thaw());
            report.of(policy).put(result);
            countRuns(report, policy, fleet, toldNotRun);
        }
        return report;
    }

    private static void countRuns(Report report, String policy, PolicyFleet fleet, Map<String, Boolean> toldNotRun) {
        JsonNode runs = fleet.fleet().http().getJson(fleet.fleet().upstreamControlUrl() + "/control/orders");
        long duplicates = 0;
        for (JsonNode count : runs) {
            duplicates += count.asInt() > 1 ? 1 : 0;
        }
        long falseNotRun = toldNotRun.entrySet().stream()
                .filter(Map.Entry::getValue)
                .filter(order -> runs.has(order.getKey()))
                .count();
        report.addNote(runs.size() + " orders ran, " + toldNotRun.size() + " were sent");
        report.of(policy).put(Measure.DUPLICATE_RUNS, duplicates);
        report.of(policy).put(Measure.FALSE_NOT_RUN, falseNotRun);
        report.addBound(Bound.atMost(policy + ": orders that ran more than once", 0, duplicates));
        report.addBound(Bound.atMost(policy + ": orders told not run that ran", 0, falseNotRun));
    }

    /** Sends an order through several nodes at once under one token; one answer that it was not run binds all. */
    private static CompletableFuture<CallEnd> sendRepeatedly(
            PolicyFleet fleet, CallSpec spec, Map<String, Boolean> toldNotRun) {
        List<FleetNode> nodes = fleet.fleet().nodes();
        int first = (int) (spec.number() % nodes.size());
        CompletableFuture<String> token =
                fleet.caller().drawToken(nodes.get(first).callerUrl(), spec);
        return token.thenCompose(drawn -> {
                    CompletableFuture<CallEnd> all = CompletableFuture.completedFuture(CallEnd.FAILED);
                    for (int i = 0; i < SENDS; i++) {
                        FleetNode node = nodes.get((first + i) % nodes.size());
                        CompletableFuture<CallEnd> one = send(fleet, node, spec, drawn);
                        all = all.thenCombine(
                                one.thenApply(end -> note(spec, end, toldNotRun)), OrdersScenario::better);
                    }
                    return all;
                })
                .exceptionally(failure -> CallEnd.FAILED);
    }

    private static CallEnd note(CallSpec spec, CallEnd end, Map<String, Boolean> toldNotRun) {
        toldNotRun.merge(HttpCalls.orderId(spec), end.outcome() == CallOutcome.REFUSED, Boolean::logicalOr);
        return end;
    }

    private static CompletableFuture<CallEnd> send(PolicyFleet fleet, FleetNode node, CallSpec spec, String token) {
        return fleet.calls().send(node.callerUrl() + "/v1/services/" + PolicyFleet.SERVICE, spec, token);
    }

    /** Keeps what says most: an answer, then an unknown outcome, then a refusal, and last no answer. */
    private static CallEnd better(CallEnd first, CallEnd second) {
        return weight(first) >= weight(second) ? first : second;
    }

    private static int weight(CallEnd end) {
        return BY_WEIGHT.indexOf(end.outcome());
    }

    private static void planFaults(BenchSettings settings, PolicyFleet fleet, Sidework events) {
        Random random = new Random(settings.seed());
        List<FleetNode> nodes = fleet.fleet().nodes();
        Duration offset = FAULT_PAUSE;
        while (offset.compareTo(settings.duration()) < 0) {
            FleetNode node = nodes.get(random.nextInt(nodes.size()));
            if (random.nextBoolean()) {
                events.at(offset, () -> {
                    node.process().kill();
                    node.process().start();
                });
            } else {
                events.at(offset, () -> node.process().freeze());
                events.at(offset.plus(FREEZE), () -> node.process().thaw());
            }
            offset = offset.plus(FAULT_PAUSE);
        }
    }
}
