package org.turmericspan.ctl;

import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.config.Fault;

/** Checks a directory or a bundle as one set and names every fault. */
final class CheckCommand {
    private static final String PATH = "path";

    private CheckCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("check").help("check a set and name every fault");
        parser.addArgument(PATH).metavar("DIR").help("directory of YAML files, or a bundle");
        Flags.addJson(parser);
        parser.setDefault(Command.KEY, (Command) CheckCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        CheckedSet set = CheckedSet.read(Path.of(arguments.getString(PATH)), 1);
        if (Flags.isJson(arguments)) {
            output.json(Report.of(set));
        } else {
            set.complain(output);
            output.line(
                    set.isValid()
                            ? "valid: " + set.objects() + " objects"
                            : "invalid: " + set.faults().size() + " faults");
        }
        return set.isValid() ? ExitCode.OK : ExitCode.NO;
    }

    /**
     * Result as JSON.
     *
     * @param valid whether the set is accepted
     * @param objects number of objects
     * @param faults every fault
     * @param warnings what the set probably does not mean
     */
    private record Report(boolean valid, int objects, List<Fault> faults, List<Fault> warnings) {
        static Report of(CheckedSet set) {
            return new Report(set.isValid(), set.objects(), set.faults(), set.warnings());
        }
    }
}
