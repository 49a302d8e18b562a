package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;

/** Runs the operators' command against a small fleet. */
final class OperatorCommandTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);

    @Test
    void commandReadsVersionsStateAndAddressesOfARunningFleet() throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(2, 4))) {
            fleet.setZone("zone-b", false);
            fleet.awaitInForce(LIMIT);
            List<String> operators = fleet.nodes().stream()
                    .map(node -> "127.0.0.1:" + node.operatorPort())
                    .toList();

            Run versions = run("versions", operators.get(0), operators.get(1));
            assertThat(versions.code()).as(versions.output()).isZero();
            assertThat(versions.output()).contains("entry-00", "entry-01");

            Run state = run("state", operators.get(0), "--section", "configuration");
            assertThat(state.code()).as(state.output()).isZero();
            assertThat(state.output()).contains("\"version\" : 2");

            Run locate = run("locate", "127.0.0.1:" + fleet.nodes().get(0).callerPort(), "ordering");
            assertThat(locate.code()).as(locate.output()).isZero();
            assertThat(locate.output()).contains("weight").contains("keep for");
        }
    }

    private static Run run(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "org.turmericspan.ctl.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Run(process.waitFor(), output);
    }

    /** How one command ended. */
    private record Run(int code, String output) {}
}
