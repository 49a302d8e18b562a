package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Prints the state dump of nodes. */
final class StateCommand {
    static final String STATE_PATH = "/v1/state";

    private static final String SECTION = "section";

    private StateCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("state").help("print the state dump of nodes as JSON");
        Flags.addOperatorAddresses(parser);
        parser.addArgument("--" + SECTION).metavar("NAME").help("print this part of the dump alone");
        parser.setDefault(Command.KEY, (Command) StateCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeAnswer> answers;
        try (NodeClient client = new NodeClient()) {
            answers = client.getAll(Flags.addresses(arguments), STATE_PATH);
        }
        Map<String, JsonNode> states = new LinkedHashMap<>();
        for (NodeAnswer answer : answers) {
            if (answer.isRead()) {
                states.put(answer.address().toString(), section(answer.body(), arguments.getString(SECTION)));
            } else {
                output.complain(answer.address() + ": " + answer.failure());
            }
        }
        output.json(states);
        return states.size() == answers.size() ? ExitCode.OK : ExitCode.UNREADABLE;
    }

    private static JsonNode section(JsonNode state, String name) {
        return name == null ? state : state.path(name);
    }
}
