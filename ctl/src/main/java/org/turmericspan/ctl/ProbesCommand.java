package org.turmericspan.ctl;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Compares the probe rate of all given nodes with the budget of each service. */
final class ProbesCommand {
    private static final String ROW_FORMAT = "%-24s %10s %14s %8s  %s";

    private ProbesCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("probes")
                .help("compare the summed probe rates of the given nodes with the budgets; exits with 1 if exceeded");
        CommonArguments.addOperatorAddresses(parser);
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) ProbesCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeResponse> responses;
        try (NodeClient client = new NodeClient()) {
            responses = client.getAll(CommonArguments.addresses(arguments), StateCommand.STATE_PATH);
        }
        List<ProbeRate> rates = ProbeRate.sum(responses);
        if (CommonArguments.isJson(arguments)) {
            output.json(rates);
        } else {
            print(rates, output);
        }
        responses.stream()
                .filter(response -> !response.isSuccess())
                .forEach(response -> output.diagnostic(response.address() + ": " + response.failure()));
        return exitCode(responses, rates);
    }

    private static ExitCode exitCode(List<NodeResponse> responses, List<ProbeRate> rates) {
        if (!responses.stream().allMatch(NodeResponse::isSuccess)) {
            return ExitCode.UNREADABLE;
        }
        return rates.stream().allMatch(ProbeRate::isWithinBudget) ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static void print(List<ProbeRate> rates, Output output) {
        output.line(String.format(ROW_FORMAT, "SERVICE", "UPSTREAMS", "MOST_PER_S", "BUDGET", ""));
        for (ProbeRate rate : rates) {
            output.line(String.format(
                    ROW_FORMAT,
                    rate.service(),
                    rate.upstreams(),
                    String.format("%.2f", rate.maxPerSecond()),
                    rate.budgetPerSecond(),
                    rate.isWithinBudget() ? "within" : "EXCEEDED"));
        }
    }
}
