package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;
import org.turmericspan.standins.fleet.FleetUpstream;

/**
 * Guards against requests that wait for their deadline on a connection that stays open but carries no more bytes. Every
 * open connection between nodes and upstreams goes silent, while new connections work.
 */
final class SilentConnectionTest {
    private static final int EARLIER_CALLS_PER_NODE = 60;
    private static final String DEADLINE_MS = "20000";

    private final OkHttpClient client =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(30)).build();

    @Test
    void lookupsAreAnsweredLongBeforeTheirDeadline() throws IOException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(2, 8).proxied())) {
            fleet.warmUpstreams();
            for (int i = 0; i < 2 * EARLIER_CALLS_PER_NODE; i++) {
                assertThat(lookup(fleet, i, "earlier-" + i)).isEqualTo(200);
            }
            for (FleetUpstream upstream : fleet.upstreams()) {
                fleet.http().post(fleet.proxyControlUrl() + "/control/silence?port=" + upstream.linkPort());
            }
            for (int i = 0; i < fleet.nodes().size(); i++) {
                assertThat(lookup(fleet, i, "after-" + i)).isEqualTo(200);
            }
            assertThat(extraAttempts(fleet)).isBetween(1L, 2L);
        }
    }

    private int lookup(Fleet fleet, int number, String requestId) throws IOException {
        FleetNode node = fleet.nodes().get(number % fleet.nodes().size());
        Request request = new Request.Builder()
                .url(node.callerUrl() + "/v1/services/ordering/stock")
                .header("Turmericspan-Office", "pressroom")
                .header("Turmericspan-Caller", "mari")
                .header("Turmericspan-Request-Id", requestId)
                .header("Turmericspan-Deadline-Ms", DEADLINE_MS)
                .build();
        try (Response response = client.newCall(request).execute()) {
            return response.code();
        }
    }

    private static long extraAttempts(Fleet fleet) {
        long sum = 0;
        for (FleetNode node : fleet.nodes()) {
            JsonNode budgets =
                    fleet.http().getJson(node.operatorUrl() + "/v1/state").get("repeat_budgets");
            sum += List.copyOf(budgets.findValues("repeats")).stream()
                    .mapToLong(JsonNode::asLong)
                    .sum();
        }
        return sum;
    }
}
