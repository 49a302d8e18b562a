package org.turmericspan.ctl;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows which configuration each node has in force, and whether all have the same. */
final class VersionsCommand {
    private static final String ROW = "%-22s %-20s %10s %10s  %s";
    private static final long MILLIS_PER_SECOND = 1_000;

    private VersionsCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("versions")
                .help("show which configuration each node has in force; 1 if they differ");
        Flags.addOperatorAddresses(parser);
        Flags.addJson(parser);
        parser.setDefault(Command.KEY, (Command) VersionsCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeAnswer> answers;
        try (NodeClient client = new NodeClient()) {
            answers = client.getAll(Flags.addresses(arguments), StateCommand.STATE_PATH);
        }
        List<InForce> rows = answers.stream().map(InForce::of).toList();
        if (Flags.isJson(arguments)) {
            output.json(rows);
        } else {
            print(rows, output);
        }
        return judge(rows);
    }

    static ExitCode judge(List<InForce> rows) {
        if (rows.stream().anyMatch(row -> !row.failure().isEmpty())) {
            return ExitCode.UNREADABLE;
        }
        long distinct = rows.stream()
                .map(row -> row.version() + row.digest())
                .distinct()
                .count();
        return distinct <= 1 ? ExitCode.OK : ExitCode.NO;
    }

    private static void print(List<InForce> rows, Output output) {
        output.line(String.format(ROW, "ADDRESS", "VM", "VERSION", "AGE_S", "DIGEST"));
        for (InForce row : rows) {
            if (row.failure().isEmpty()) {
                output.line(String.format(
                        ROW,
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
     * What one node has in force.
     *
     * @param address address that was asked
     * @param vm name of the node's VM
     * @param version number of the configuration
     * @param digest digest of the configuration
     * @param ageMillis time since it came into force, in milliseconds
     * @param failure why there is no answer, empty on success
     */
    record InForce(
            String address,
            String vm,
            long version,
            String digest,
            @JsonProperty("age_ms") long ageMillis,
            String failure) {
        static InForce of(NodeAnswer answer) {
            JsonNode state = answer.body();
            return new InForce(
                    answer.address().toString(),
                    state.at("/node/vm").asText(),
                    state.at("/configuration/version").asLong(),
                    state.at("/configuration/digest").asText(),
                    state.at("/configuration/age_ms").asLong(),
                    answer.failure());
        }
    }
}
