package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.ids.ServiceId;

/** Requests the addresses of a service from a node, as a caller does. */
final class LocateCommand {
    private static final String SERVICE = "service";

    private LocateCommand() {}

    static void register(Subparsers commands) {
        Subparser parser =
                commands.addParser("locate").help("show the addresses that a node gives to callers of a service");
        CommonArguments.addCallerAddress(parser);
        parser.addArgument(SERVICE)
                .metavar("SERVICE")
                .type(CommonArguments.argumentType(ServiceId::new))
                .help("name of the service");
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) LocateCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        ServiceId service = arguments.get(SERVICE);
        NodeResponse response;
        try (NodeClient client = new NodeClient()) {
            response = client.get(CommonArguments.address(arguments), "/v1/locate?service=" + service);
        }
        if (!response.isSuccess()) {
            output.diagnostic(response.address() + ": " + response.failure());
            return ExitCode.UNREADABLE;
        }
        if (CommonArguments.isJson(arguments)) {
            output.json(response.body());
        } else {
            print(response.body(), output);
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
