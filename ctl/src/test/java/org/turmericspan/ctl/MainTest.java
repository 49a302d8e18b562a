package org.turmericspan.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests each command by its output and exit code. */
final class MainTest {
    private static final String VALID = "kind: AvailabilityZone\nname: zone-a\nregion: one\n---\n"
            + "kind: Service\nname: mixing\n---\n"
            + "kind: Upstream\nname: m-1\nservice: mixing\navailability_zone: zone-a\naddress: 10.0.0.1:80\n";

    private final ByteArrayOutputStream results = new ByteArrayOutputStream();
    private final ByteArrayOutputStream diagnostics = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @Test
    void validSetExitsWithZero() throws IOException {
        write("set.yaml", VALID);

        assertThat(run("check", directory.toString())).isEqualTo(ExitCode.OK);
        assertThat(results).hasToString("valid: 3 objects\n");
    }

    @Test
    void everyFaultIsReportedWithFileObjectAndField() throws IOException {
        write("set.yaml", VALID.replace("service: mixing", "service: mixxing"));
        write("more.yaml", "kind: Vm\nname: One\n");

        assertThat(run("check", directory.toString())).isEqualTo(ExitCode.NEGATIVE);
        assertThat(diagnostics.toString(StandardCharsets.UTF_8))
                .contains("set.yaml: Upstream m-1 field service: names mixxing, which is not in the set")
                .contains("more.yaml: Vm One field name:");
    }

    @Test
    void jsonOutputListsFaults() throws IOException {
        write("set.yaml", "kind: Vm\n");

        assertThat(run("check", "--json", directory.toString())).isEqualTo(ExitCode.NEGATIVE);
        assertThat(results.toString(StandardCharsets.UTF_8)).contains("\"valid\" : false", "\"field\" : \"name\"");
    }

    @Test
    void bundlePassesCheckAndEqualsItsDirectory() throws IOException {
        write("set.yaml", VALID);
        Path bundle = directory.resolve("bundle.json");

        assertThat(run("bundle", directory.toString(), "--version", "7", "--out", bundle.toString()))
                .isEqualTo(ExitCode.OK);
        assertThat(run("check", bundle.toString())).isEqualTo(ExitCode.OK);
        assertThat(run("diff", directory.toString(), bundle.toString())).isEqualTo(ExitCode.OK);
        assertThat(Files.readString(bundle)).startsWith("{\"version\": 7, \"objects\": [\n{\"kind\":\"Availability");
    }

    @Test
    void bundleOfInvalidSetWritesNothing() throws IOException {
        write("set.yaml", "kind: Vm\n");

        assertThat(run("bundle", directory.toString(), "--version", "7")).isEqualTo(ExitCode.NEGATIVE);
        assertThat(results.size()).isZero();
    }

    @Test
    void diffListsAddedRemovedAndChangedObjectsWithFields() throws IOException {
        Path before = Files.createDirectory(directory.resolve("before"));
        Path after = Files.createDirectory(directory.resolve("after"));
        Files.writeString(before.resolve("a.yaml"), "kind: Vm\nname: one\n---\nkind: Vm\nname: two\n");
        Files.writeString(after.resolve("a.yaml"), "kind: Vm\nname: two\nstate: out\n---\nkind: Vm\nname: three\n");

        assertThat(run("diff", before.toString(), after.toString())).isEqualTo(ExitCode.NEGATIVE);
        assertThat(results.toString(StandardCharsets.UTF_8).lines())
                .containsExactly("removed Vm one", "added Vm three", "changed Vm two", "    state: default -> \"out\"");
    }

    @Test
    void invalidCommandLineAndMissingFileHaveDistinctExitCodes() {
        assertThat(run("bundle", ".", "--version", "0")).isEqualTo(ExitCode.USAGE);
        assertThat(run("nonsense")).isEqualTo(ExitCode.USAGE);
        assertThat(run()).isEqualTo(ExitCode.USAGE);
        assertThat(run("versions", "localhost:80")).isEqualTo(ExitCode.USAGE);
        assertThat(run("check", directory.resolve("none").toString())).isEqualTo(ExitCode.UNREADABLE);
    }

    @Test
    void versionsExitsWithOneWhenDigestsDiffer() throws IOException {
        try (FakeNode one = new FakeNode("aa");
                FakeNode same = new FakeNode("aa");
                FakeNode other = new FakeNode("bb")) {
            assertThat(run("versions", one.address(), same.address())).isEqualTo(ExitCode.OK);
            assertThat(run("versions", one.address(), other.address(), "--json"))
                    .isEqualTo(ExitCode.NEGATIVE);
        }
        assertThat(results.toString(StandardCharsets.UTF_8)).contains("\"digest\" : \"bb\"");
    }

    @Test
    void sumOfProbeRatesIsComparedWithBudget() throws IOException {
        try (FakeNode one = new FakeNode("aa");
                FakeNode other = new FakeNode("aa")) {
            assertThat(run("probes", one.address())).isEqualTo(ExitCode.OK);
            assertThat(run("probes", one.address(), other.address())).isEqualTo(ExitCode.NEGATIVE);
        }
        assertThat(results.toString(StandardCharsets.UTF_8)).contains("within", "EXCEEDED");
    }

    @Test
    void unreachableNodeIsReportedWithItsAddress() {
        assertThat(run("state", "127.0.0.1:1")).isEqualTo(ExitCode.UNREADABLE);
        assertThat(diagnostics.toString(StandardCharsets.UTF_8)).startsWith("127.0.0.1:1: ");
    }

    private ExitCode run(String... arguments) {
        return Main.run(new Output(new PrintStream(results), new PrintStream(diagnostics)), arguments);
    }

    private void write(String name, String text) throws IOException {
        Files.writeString(directory.resolve(name), text);
    }

    /** Node that returns the same state dump for every request. */
    private static final class FakeNode implements AutoCloseable {
        private final HttpServer server;

        FakeNode(String digest) throws IOException {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
            byte[] state = ("{\"configuration\": {\"version\": 4, \"digest\": \"" + digest + "\"}, \"probing\": "
                            + "[{\"service\": \"mixing\", \"upstreams\": 2, \"most_per_second\": 6.0, "
                            + "\"service_budget_per_second\": 10}]}")
                    .getBytes(StandardCharsets.UTF_8);
            server.createContext("/", exchange -> {
                exchange.sendResponseHeaders(200, state.length);
                exchange.getResponseBody().write(state);
                exchange.close();
            });
            server.start();
        }

        String address() {
            return "127.0.0.1:" + server.getAddress().getPort();
        }

        @Override
        public void close() {
            server.stop(0);
        }
    }
}
