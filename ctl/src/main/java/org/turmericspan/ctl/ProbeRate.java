package org.turmericspan.ctl;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Total probe rate of one service over all given nodes, with the configured budget of the service.
 *
 * @param service name of the service
 * @param upstreams number of probed upstreams, summed over the nodes
 * @param maxPerSecond maximum probe rate of all nodes together, in probes per second
 * @param budgetPerSecond budget of the service, in probes per second
 */
record ProbeRate(
        String service,
        int upstreams,
        @JsonProperty("most_per_second") double maxPerSecond,
        @JsonProperty("budget_per_second") int budgetPerSecond) {
    /** Tolerance for rounding errors in summed rates, in probes per second. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    static List<ProbeRate> sum(List<NodeResponse> responses) {
        TreeMap<String, ProbeRate> rates = new TreeMap<>();
        for (NodeResponse response : responses) {
            for (JsonNode line : response.body().path("probing")) {
                ProbeRate rate = of(line);
                rates.merge(rate.service(), rate, ProbeRate::plus);
            }
        }
        return new ArrayList<>(rates.values());
    }

    boolean isWithinBudget() {
        return maxPerSecond <= budgetPerSecond + ROUNDING_TOLERANCE;
    }

    private static ProbeRate of(JsonNode line) {
        return new ProbeRate(
                line.path("service").asText(),
                line.path("upstreams").asInt(),
                line.path("most_per_second").asDouble(),
                line.path("service_budget_per_second").asInt());
    }

    /** Adds the rate of another node. The lower budget applies while nodes have different configuration versions. */
    private ProbeRate plus(ProbeRate other) {
        return new ProbeRate(
                service,
                upstreams + other.upstreams,
                maxPerSecond + other.maxPerSecond,
                Math.min(budgetPerSecond, other.budgetPerSecond));
    }
}
