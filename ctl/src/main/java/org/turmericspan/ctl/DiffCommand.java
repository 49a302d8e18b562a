package org.turmericspan.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.config.InvalidConfigurationException;
import org.turmericspan.config.ObjectSet;

/** Shows how two sets differ. */
final class DiffCommand {
    private static final String BEFORE = "before";
    private static final String AFTER = "after";

    private DiffCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("diff").help("show how two sets differ");
        parser.addArgument(BEFORE).metavar("A").help("directory of YAML files, or a bundle");
        parser.addArgument(AFTER).metavar("B").help("directory of YAML files, or a bundle");
        Flags.addJson(parser);
        parser.setDefault(Command.KEY, (Command) DiffCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        ObjectSet before;
        ObjectSet after;
        try {
            before = readWhole(arguments.getString(BEFORE));
            after = readWhole(arguments.getString(AFTER));
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(fault -> output.complain("fault: " + fault));
            return ExitCode.UNREADABLE;
        }
        List<ObjectChange> changes = SetDifference.between(before, after);
        if (Flags.isJson(arguments)) {
            output.json(changes);
        } else {
            changes.forEach(change -> print(change, output));
        }
        return changes.isEmpty() ? ExitCode.OK : ExitCode.NO;
    }

    private static ObjectSet readWhole(String path) {
        ObjectSet set = SetSource.read(Path.of(path));
        if (!set.faults().isEmpty()) {
            throw new InvalidConfigurationException(set.faults());
        }
        return set;
    }

    private static void print(ObjectChange change, Output output) {
        output.line(change.change().name().toLowerCase(Locale.ROOT) + " " + change.object());
        change.fields()
                .forEach(field -> output.line("    " + field.field() + ": " + field.before() + " -> " + field.after()));
    }
}
