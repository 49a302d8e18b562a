package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Sends one request from a caller through a node to an upstream. Guards against parts that work alone but not together.
 */
final class WholePathTest {
    @Test
    void lookupIsAnsweredByAnUpstreamThroughTheLocatedNode() throws IOException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(4, 8))) {
            JsonNode located = fleet.http().getJson(fleet.nodes().get(0).callerUrl() + "/v1/locate?service=ordering");
            String address = located.at("/addresses/0/address").asText();

            Request request = new Request.Builder()
                    .url("http://" + address + "/v1/services/ordering/stock?size=100")
                    .header("Turmericspan-Office", "pressroom")
                    .header("Turmericspan-Caller", "mari")
                    .header("Turmericspan-Request-Id", "request-1")
                    .build();
            try (Response response = new OkHttpClient().newCall(request).execute()) {
                assertThat(response.code()).isEqualTo(200);
                assertThat(response.header("Turmericspan-Request-Id")).isEqualTo("request-1");
                assertThat(response.body().string()).startsWith("request-1\n").hasSize(100);
            }
            assertThat(fleet.witnessSum("started")).isEqualTo(1);
            assertThat(fleet.witnessSum("finished")).isEqualTo(1);
        }
    }
}
