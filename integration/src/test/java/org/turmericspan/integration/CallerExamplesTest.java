package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Runs the shell examples of the callers' documentation against a fleet. Guards against examples that no longer work
 * because the interface changed and the page did not.
 */
final class CallerExamplesTest {
    private static final Pattern EXAMPLE = Pattern.compile("```bash\n(.*?)```", Pattern.DOTALL);
    private static final String DOCUMENTED_NODE_ADDRESS = "127.0.0.1:8080";

    @Test
    void examplesRunALookupAnOrderItsDuplicateAndARefusedCall() throws IOException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(1, 2))) {
            String nodeAddress = "127.0.0.1:" + fleet.nodes().get(0).callerPort();
            String output = run(examples().replace(DOCUMENTED_NODE_ADDRESS, nodeAddress));

            assertThat(output).contains("\"incarnation\":").contains("lookup-1\n");
            assertThat(output.split("order-1\n", -1))
                    .as("two responses to one order")
                    .hasSize(3);
            assertThat(output).contains("\"code\":1004,\"ran\":\"no\"");
            JsonNode runs = fleet.http().getJson(fleet.upstreamControlUrl() + "/control/orders");
            assertThat(runs.path("order-1").asInt()).isEqualTo(1);
        }
    }

    private static String examples() throws IOException {
        Path page = Path.of(System.getProperty("turmericspan.root"), "docs", "CALLERS.md");
        return EXAMPLE.matcher(Files.readString(page))
                .results()
                .map(MatchResult::group)
                .map(block -> block.replace("```bash\n", "").replace("```", ""))
                .collect(Collectors.joining("\n"));
    }

    private static String run(String script) throws IOException {
        Process bash = new ProcessBuilder(List.of("bash", "-c", script))
                .redirectErrorStream(true)
                .start();
        return new String(bash.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
