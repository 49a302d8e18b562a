package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;

/**
 * Runs the demonstration as a process. Guards against a demonstration that fails or leaves child processes behind, also
 * when it is interrupted.
 */
final class DemoTest {
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(60);

    @Test
    void demoServesAndExitsWithZeroAndLeavesNoProcess() throws IOException, InterruptedException {
        Process demo = start();
        List<ProcessHandle> children = children(demo);
        String output = new String(demo.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

        assertThat(demo.waitFor()).as(output).isZero();
        assertThat(output).contains("zone-b out").doesNotContain("NO   ");
        assertThat(children).isNotEmpty().noneMatch(ProcessHandle::isAlive);
    }

    @Test
    void interruptedDemoLeavesNoProcess() throws IOException, InterruptedException {
        Process demo = start();
        List<ProcessHandle> children = children(demo);

        demo.destroy();
        demo.waitFor();

        Await.until(
                "child processes have ended",
                WAIT_LIMIT,
                () -> children.stream().noneMatch(ProcessHandle::isAlive));
    }

    private static Process start() throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.turmericspan.standins.demo.Main")
                .redirectErrorStream(true)
                .start();
    }

    /** Waits until the processes of the fleet have started and returns them. */
    private static List<ProcessHandle> children(Process demo) {
        Await.until("child processes run", WAIT_LIMIT, () -> demo.descendants().count() >= 6);
        return demo.descendants().toList();
    }
}
