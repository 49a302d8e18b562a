package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.ids.ServiceId;

/** Asks a node, as a caller would, which addresses to use for a service. */
final class LocateCommand {
    private static final String SERVICE = "service";

    private LocateCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("locate").help("ask a node which addresses callers use for a service");
        Flags.addCallerAddress(parser);
        parser.addArgument(SERVICE)
                .metavar("SERVICE")
                .type(Flags.parsed(ServiceId::new))
                .help("name of the service");
        Flags.addJson(parser);
        parser.setDefault(Command.KEY, (Command) LocateCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        ServiceId service = arguments.get(SERVICE);
        NodeAnswer answer;
        try (NodeClient client = new NodeClient()) {
            answer = client.get(Flags.address(arguments), "/v1/locate?service=" + service);
        }
        if (!answer.isRead()) {
            output.complain(answer.address() + ": " + answer.failure());
            return ExitCode.UNREADABLE;
        }
        if (Flags.isJson(arguments)) {
            output.json(answer.body());
        } else {
            print(answer.body(), output);
        }
        return ExitCode.OK;
    }

    private static void print(JsonNode body, Output output) {
        for (JsonNode address : body.path("addresses")) {
            output.line(String.format(
                    "%-22s %-20s weight %s",
                    address.path("address").asText(),
                    address.path("vm").asText(),
                    address.path("weight").asText()));
        }
        output.line("keep for " + body.path("ttl_ms").asText() + " ms");
    }
}
