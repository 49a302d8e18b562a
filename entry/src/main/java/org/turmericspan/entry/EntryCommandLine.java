package org.turmericspan.entry;

import java.io.IOException;
import java.nio.file.Path;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** The command line of an entry node. */
final class EntryCommandLine {
    private static final int EXIT_USAGE = 2;
    private static final String SETTINGS_FILE = "settings_file";
    private static final String CHECK_OPTION = "check";

    private EntryCommandLine() {}

    static void run(String[] arguments, String defaultPath) throws IOException, InterruptedException {
        try {
            Namespace parsed = parser().parseArgs(arguments);
            String path = parsed.getString(SETTINGS_FILE);
            SettingsFile file = new SettingsFile(Path.of(path == null ? defaultPath : path));
            if (parsed.getBoolean(CHECK_OPTION)) {
                file.read();
                System.out.println("The settings are valid.");
            } else {
                EntryMain.run(file);
            }
        } catch (HelpScreenException e) {
            System.exit(0);
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e);
            System.exit(EXIT_USAGE);
        }
    }

    private static ArgumentParser parser() {
        // Terminal width detection starts a process, which the platform forbids.
        ArgumentParser parser = ArgumentParsers.newFor("turmericspan entry")
                .terminalWidthDetection(false)
                .build()
                .description("An entry node that reads its fleet from the platform's store.")
                .epilog("Exit codes: 0 planned stop or valid settings, 1 failure, 2 invalid settings.");
        parser.addArgument("--settings-file")
                .dest(SETTINGS_FILE)
                .metavar("PATH")
                .help("file with settings as name=value lines; default: the file that the environment variable "
                        + EntryMain.SETTINGS_VARIABLE + " names");
        parser.addArgument("--" + CHECK_OPTION).action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }
}
