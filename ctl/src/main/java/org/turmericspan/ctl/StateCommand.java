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
        CommonArguments.addOperatorAddresses(parser);
        parser.addArgument("--" + SECTION).metavar("NAME").help("print only this section of the dump");
        parser.setDefault(Command.KEY, (Command) StateCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeResponse> responses;
        try (NodeClient client = new NodeClient()) {
            responses = client.getAll(CommonArguments.addresses(arguments), STATE_PATH);
        }
        Map<String, JsonNode> states = new LinkedHashMap<>();
        for (NodeResponse response : responses) {
            if (response.isSuccess()) {
                states.put(response.address().toString(), section(response.body(), arguments.getString(SECTION)));
            } else {
                output.diagnostic(response.address() + ": " + response.failure());
            }
        }
        output.json(states);
        return states.size() == responses.size() ? ExitCode.OK : ExitCode.UNREADABLE;
    }

    private static JsonNode section(JsonNode state, String name) {
        return name == null ? state : state.path(name);
    }
}
