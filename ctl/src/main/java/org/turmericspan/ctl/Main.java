package org.turmericspan.ctl;

import java.io.UncheckedIOException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the binary {@code turmericspanctl}. */
public final class Main {
    private static final int HELP_WIDTH = 100;

    private Main() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitCode code = run(new Output(System.out, System.err), arguments);
        System.out.flush();
        System.exit(code.number());
    }

    static ExitCode run(Output output, String... arguments) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            Command command = parsed.get(Command.KEY);
            return command.run(parsed, output);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            output.diagnostic(e.getParser().formatUsage() + "turmericspanctl: " + e.getMessage());
            return ExitCode.USAGE;
        } catch (UncheckedIOException e) {
            output.diagnostic(
                    "turmericspanctl: cannot read or write " + e.getCause().getMessage());
            return ExitCode.UNREADABLE;
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("turmericspanctl")
                .defaultFormatWidth(HELP_WIDTH)
                .build()
                .description(
                        "Checks, bundles and compares configurations, reads the state of nodes, and explains requests.")
                .epilog("Exit codes: 0 done, 1 faults or differences were found, 2 wrong command line, "
                        + "3 a file or a node could not be read.");
        Subparsers commands = parser.addSubparsers()
                .metavar("COMMAND")
                .title("commands")
                .help("COMMAND --help shows the arguments of a command");
        CheckCommand.register(commands);
        BundleCommand.register(commands);
        DiffCommand.register(commands);
        StateCommand.register(commands);
        VersionsCommand.register(commands);
        TenantsCommand.register(commands);
        LocateCommand.register(commands);
        ProbesCommand.register(commands);
        ExplainCommand.register(commands);
        return parser;
    }
}
