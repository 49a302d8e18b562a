package org.turmericspan.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.turmericspan.config.InvalidConfigurationException;
import org.turmericspan.config.ObjectSet;

/** Compares two configuration sets, each given as a directory or a bundle. */
final class DiffCommand {
    private static final String BEFORE = "before";
    private static final String AFTER = "after";

    private DiffCommand() {}

    static void register(Subparsers commands) {
        Subparser parser = commands.addParser("diff")
                .help("show the objects and fields in which two configurations differ; exits with 1 if any");
        parser.addArgument(BEFORE).metavar("A").help("directory of YAML files, or a bundle");
        parser.addArgument(AFTER).metavar("B").help("directory of YAML files, or a bundle");
        CommonArguments.addJson(parser);
        parser.setDefault(Command.KEY, (Command) DiffCommand::run);
    }

    private static ExitCode run(Namespace arguments, Output output) {
        ObjectSet before;
        ObjectSet after;
        try {
            before = readOrThrow(arguments.getString(BEFORE));
            after = readOrThrow(arguments.getString(AFTER));
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(fault -> output.diagnostic("fault: " + fault));
            return ExitCode.UNREADABLE;
        }
        List<ObjectChange> changes = SetDifference.between(before, after);
        if (CommonArguments.isJson(arguments)) {
            output.json(changes);
        } else {
            changes.forEach(change -> print(change, output));
        }
        return changes.isEmpty() ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    private static ObjectSet readOrThrow(String path) {
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
