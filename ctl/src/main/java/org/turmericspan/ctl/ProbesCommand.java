package org.turmericspan.ctl;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Shows what probing costs the fleet against the budget of each service. */
final class ProbesCommand {
    private static final String ROW = "%-24s %10s %14s %8s  %s";

    private ProbesCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("probes")
                .help("sum the probes of all nodes given and hold them against the budgets; 1 if one is exceeded");
        Flags.addOperatorAddresses(parser);
        Flags.addJson(parser);
        parser.setDefault(Command.KEY, (Command) ProbesCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        List<NodeAnswer> answers;
        try (NodeClient client = new NodeClient()) {
            answers = client.getAll(Flags.addresses(arguments), StateCommand.STATE_PATH);
        }
        List<ProbeCost> costs = ProbeCost.sum(answers);
        if (Flags.isJson(arguments)) {
            output.json(costs);
        } else {
            print(costs, output);
        }
        answers.stream()
                .filter(answer -> !answer.isRead())
                .forEach(answer -> output.complain(answer.address() + ": " + answer.failure()));
        return judge(answers, costs);
    }

    private static ExitCode judge(List<NodeAnswer> answers, List<ProbeCost> costs) {
        if (!answers.stream().allMatch(NodeAnswer::isRead)) {
            return ExitCode.UNREADABLE;
        }
        return costs.stream().allMatch(ProbeCost::isWithinBudget) ? ExitCode.OK : ExitCode.NO;
    }

    private static void print(List<ProbeCost> costs, Output output) {
        output.line(String.format(ROW, "SERVICE", "UPSTREAMS", "MOST_PER_S", "BUDGET", ""));
        for (ProbeCost cost : costs) {
            output.line(String.format(
                    ROW,
                    cost.service(),
                    cost.upstreams(),
                    String.format("%.2f", cost.mostPerSecond()),
                    cost.budgetPerSecond(),
                    cost.isWithinBudget() ? "within" : "EXCEEDED"));
        }
    }
}
