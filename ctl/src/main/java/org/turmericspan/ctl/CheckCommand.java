package org.turmericspan.ctl;

import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.config.Fault;

/** Validates a configuration set, given as a directory or a bundle, and reports every fault. */
final class CheckCommand {
    private static final String PATH = "path";

    private CheckCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("check").help("validate a configuration and report every fault");
        parser.addArgument(PATH).metavar("DIR").help("directory of YAML files, or a bundle");
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) CheckCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        CheckedSet set = CheckedSet.read(Path.of(arguments.getString(PATH)), 1);
        if (CommonArguments.isJson(arguments)) {
            output.json(Report.of(set));
        } else {
            set.printDiagnostics(output);
            output.line(
                    set.isValid()
                            ? "valid: " + set.objects() + " objects"
                            : "invalid: " + set.faults().size() + " faults");
        }
        return set.isValid() ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    /**
     * The JSON output; its keys are the names of the components.
     *
     * @param valid whether nodes would accept the set
     * @param objects number of objects
     * @param faults every fault found
     * @param warnings valid settings that are probably mistakes
     */
    private record Report(boolean valid, int objects, List<Fault> faults, List<Fault> warnings) {
        static Report of(CheckedSet set) {
            return new Report(set.isValid(), set.objects(), set.faults(), set.warnings());
        }
    }
}
