package org.turmericspan.ctl;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows the active configuration of each node and checks that all nodes have the same one. */
final class VersionsCommand {
    private static final String ROW_FORMAT = "%-22s %-20s %10s %10s  %s";
    private static final long MILLIS_PER_SECOND = 1_000;

    private VersionsCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("versions")
                .help("show the active configuration of each node; exits with 1 if nodes differ");
        CommonArguments.addOperatorAddresses(parser);
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) VersionsCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeResponse> responses;
        try (NodeClient client = new NodeClient()) {
            responses = client.getAll(CommonArguments.addresses(arguments), StateCommand.STATE_PATH);
        }
        List<ActiveConfiguration> rows =
                responses.stream().map(ActiveConfiguration::of).toList();
        if (CommonArguments.isJson(arguments)) {
            output.json(rows);
        } else {
            print(rows, output);
        }
        return exitCode(rows);
    }

    static ExitCode exitCode(List<ActiveConfiguration> rows) {
        if (rows.stream().anyMatch(row -> !row.failure().isEmpty())) {
            return ExitCode.UNREADABLE;
        }
        long distinct = rows.stream()
                .map(row -> row.version() + row.digest())
                .distinct()
                .count();
        return distinct <= 1 ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static void print(List<ActiveConfiguration> rows, Output output) {
        output.line(String.format(ROW_FORMAT, "ADDRESS", "VM", "VERSION", "AGE_S", "DIGEST"));
        for (ActiveConfiguration row : rows) {
            if (row.failure().isEmpty()) {
                output.line(String.format(
                        ROW_FORMAT,
                        row.address(),
                        row.vm(),
                        row.version(),
                        row.ageMillis() / MILLIS_PER_SECOND,
                        row.digest()));
            } else {
                output.line(String.format("%-22s %s", row.address(), row.failure()));
            }
        }
    }

    /**
     * Active configuration of one node. The components are the keys of the JSON output.
     *
     * @param address address the request was sent to
     * @param vm name of the node's VM
     * @param version version number of the configuration
     * @param digest digest of the configuration
     * @param ageMillis time since the configuration became active, in milliseconds
     * @param failure reason why the node could not be read, empty on success
     */
    record ActiveConfiguration(
            String address,
            String vm,
            long version,
            String digest,
            @JsonProperty("age_ms") long ageMillis,
            String failure) {
        static ActiveConfiguration of(NodeResponse response) {
            JsonNode state = response.body();
            return new ActiveConfiguration(
                    response.address().toString(),
                    state.at("/node/vm").asText(),
                    state.at("/configuration/version").asLong(),
                    state.at("/configuration/digest").asText(),
                    state.at("/configuration/age_ms").asLong(),
                    response.failure());
        }
    }
}
