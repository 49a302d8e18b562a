package org.turmericspan.ctl;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows the caps of tenants as entry nodes see them, and checks that the nodes agree on them. */
final class TenantsCommand {
    private static final String STATE_PATH = "/state";
    private static final String ROW_FORMAT = "%-24s %8s %8s %6s %6s %7s %7s %-6s %s";

    private TenantsCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("tenants")
                .help("show the caps of tenants at the metrics addresses of entry nodes; exits with 1 if nodes differ");
        CommonArguments.addOperatorAddresses(parser);
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) TenantsCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeResponse> responses;
        try (NodeClient client = new NodeClient()) {
            responses = client.getAllText(CommonArguments.addresses(arguments), STATE_PATH);
        }
        for (NodeResponse response : responses) {
            if (!response.isSuccess()) {
                output.diagnostic(response.address() + ": " + response.failure());
            }
        }
        List<TenantSummary> tenants = TenantSummary.of(responses.stream()
                .filter(NodeResponse::isSuccess)
                .map(response -> response.body().textValue())
                .toList());
        if (CommonArguments.isJson(arguments)) {
            output.json(tenants);
        } else {
            print(tenants, output);
        }
        if (!responses.stream().allMatch(NodeResponse::isSuccess)) {
            return ExitCode.UNREADABLE;
        }
        return tenants.stream().allMatch(TenantSummary::agree) ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static void print(List<TenantSummary> tenants, Output output) {
        output.line(String.format(
                ROW_FORMAT, "TENANT", "RATE", "BURST", "LEVEL", "USABLE", "BATCHES", "WAITING", "AGREE", "HOLDERS"));
        for (TenantSummary tenant : tenants) {
            output.line(String.format(
                    ROW_FORMAT,
                    tenant.tenant(),
                    tenant.rate(),
                    tenant.burst(),
                    tenant.level(),
                    tenant.usable(),
                    tenant.batches(),
                    tenant.waiting(),
                    tenant.agree() ? "yes" : "no",
                    tenant.holders()));
        }
    }
}
