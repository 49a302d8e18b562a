package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Guards against a query of death: a request that crashes every upstream that runs it and that callers send again and
 * again through different nodes, so that retries spread the crashes over the fleet.
 */
final class PoisonTest {
    private static final int SENDS = 50;
    private static final int BUDGET_CALLS_PER_NODE = 30;
    private static final int QUARANTINED_CODE = 1106;

    private final OkHttpClient client = new OkHttpClient();

    @Test
    void crashingRequestCrashesAtMostTwoUpstreamsAndOtherRequestsAreAnswered() throws IOException {
        try (Fleet fleet = start("quarantine")) {
            fillRetryBudgets(fleet, 4 * BUDGET_CALLS_PER_NODE);
            int refused = 0;
            int answered = 0;
            for (int i = 0; i < SENDS; i++) {
                FleetNode node = fleet.nodes().get(i % fleet.nodes().size());
                refused += send(node, "poison-" + i, "a poison") == QUARANTINED_CODE ? 1 : 0;
                answered += send(node, "good-" + i, "a good one") == 0 ? 1 : 0;
            }

            assertThat(fleet.witnessSum("crashes")).isBetween(1L, 2L);
            assertThat(refused).isGreaterThanOrEqualTo(SENDS - 2);
            assertThat(answered).isEqualTo(SENDS);
        }
    }

    @Test
    void crashingRequestCrashesManyUpstreamsWithoutQuarantine() throws IOException {
        try (Fleet fleet = start("none")) {
            for (int i = 0; i < SENDS; i++) {
                send(fleet.nodes().get(i % fleet.nodes().size()), "poison-" + i, "a poison");
            }

            assertThat(fleet.witnessSum("crashes")).isGreaterThan(2);
        }
    }

    /** Sends harmless requests, so that every node has tokens in its retry budget. */
    private void fillRetryBudgets(Fleet fleet, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            send(fleet.nodes().get(i % fleet.nodes().size()), "earlier-" + i, "a good one");
        }
    }

    private static Fleet start(String policy) {
        Fleet fleet = Fleet.start(FleetPlan.simple(4, 12).withNodeFlags(List.of("--suspect-policy", policy)));
        fleet.published()
                .put(
                        "Rule",
                        "searches",
                        List.of(
                                "\"service\": \"ordering\"",
                                "\"method\": \"POST\"",
                                "\"path_prefix\": \"/search\"",
                                "\"idempotent\": true"));
        fleet.publish();
        fleet.awaitInForce(Duration.ofSeconds(20));
        fleet.warmUpstreams();
        return fleet;
    }

    /** Sends a search and returns the code with which it was refused, or 0 when it was answered. */
    private int send(FleetNode node, String requestId, String body) throws IOException {
        Request request = new Request.Builder()
                .url(node.callerUrl() + "/v1/services/ordering/search")
                .header("Turmericspan-Office", "pressroom")
                .header("Turmericspan-Caller", "mari")
                .header("Turmericspan-Request-Id", requestId)
                .post(RequestBody.create(body, null))
                .build();
        try (Response response = client.newCall(request).execute()) {
            String responseBody = response.body().string();
            return response.isSuccessful()
                    ? 0
                    : Integer.parseInt(responseBody.replaceAll(".*\"code\":([0-9]+).*", "$1"));
        }
    }
}
