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

/**
 * Runs the operators' command as a process against a small fleet. Guards against a command that no longer understands
 * the responses of the nodes.
 */
final class OperatorCommandTest {
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(30);

    @Test
    void commandReadsVersionsStateAndAddressesOfARunningFleet() throws IOException, InterruptedException {
        try (Fleet fleet = Fleet.start(FleetPlan.simple(2, 4))) {
            fleet.setZone("zone-b", false);
            fleet.awaitInForce(WAIT_LIMIT);
            List<String> operatorAddresses = fleet.nodes().stream()
                    .map(node -> "127.0.0.1:" + node.operatorPort())
                    .toList();

            CommandResult versions = run("versions", operatorAddresses.get(0), operatorAddresses.get(1));
            assertThat(versions.exitCode()).as(versions.output()).isZero();
            assertThat(versions.output()).contains("entry-00", "entry-01");

            CommandResult state = run("state", operatorAddresses.get(0), "--section", "configuration");
            assertThat(state.exitCode()).as(state.output()).isZero();
            assertThat(state.output()).contains("\"version\" : 2");

            CommandResult locate =
                    run("locate", "127.0.0.1:" + fleet.nodes().get(0).callerPort(), "ordering");
            assertThat(locate.exitCode()).as(locate.output()).isZero();
            assertThat(locate.output()).contains("weight").contains("keep for");
        }
    }

    private static CommandResult run(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "org.turmericspan.ctl.Main"));
        command.addAll(List.of(arguments));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new CommandResult(process.waitFor(), output);
    }

    /** Exit code and output of one command. */
    private record CommandResult(int exitCode, String output) {}
}
