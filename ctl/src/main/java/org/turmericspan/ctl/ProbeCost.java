package org.turmericspan.ctl;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Probes of one service over all nodes asked, against its agreed budget.
 *
 * @param service name of the service
 * @param upstreams upstreams that are probed
 * @param mostPerSecond most probes a second of all nodes together
 * @param budgetPerSecond agreed budget in probes a second
 */
record ProbeCost(
        String service,
        int upstreams,
        @JsonProperty("most_per_second") double mostPerSecond,
        @JsonProperty("budget_per_second") int budgetPerSecond) {
    private static final double ROUNDING = 1e-6;

    static List<ProbeCost> sum(List<NodeAnswer> answers) {
        TreeMap<String, ProbeCost> costs = new TreeMap<>();
        for (NodeAnswer answer : answers) {
            for (JsonNode line : answer.body().path("probing")) {
                ProbeCost cost = of(line);
                costs.merge(cost.service(), cost, ProbeCost::plus);
            }
        }
        return new ArrayList<>(costs.values());
    }

    boolean isWithinBudget() {
        return mostPerSecond <= budgetPerSecond + ROUNDING;
    }

    private static ProbeCost of(JsonNode line) {
        return new ProbeCost(
                line.path("service").asText(),
                line.path("upstreams").asInt(),
                line.path("most_per_second").asDouble(),
                line.path("service_budget_per_second").asInt());
    }

    /** Adds another node's share; while versions differ the lower budget counts. */
    private ProbeCost plus(ProbeCost other) {
        return new ProbeCost(
                service,
                upstreams + other.upstreams,
                mostPerSecond + other.mostPerSecond,
                Math.min(budgetPerSecond, other.budgetPerSecond));
    }
}
