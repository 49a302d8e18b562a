package org.turmericspan.entry;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Starts an entry node on the users' platform. */
public final class EntryMain {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILED = 1;
    private static final String SETTINGS_VARIABLE = "TURMERICSPAN_SETTINGS_FILE";

    private EntryMain() {}

    /**
     * Runs a node until it is told to stop.
     *
     * @param arguments the command line
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        try {
            String variable = System.getenv(SETTINGS_VARIABLE);
            if (arguments.length == 0 && variable != null) {
                // The usual start spares the command line's library, which costs a tenth of a second.
                SettingsFile file = new SettingsFile(Path.of(variable));
                run(file.read(), file);
            } else {
                runCommandLine(arguments, variable == null ? "" : variable);
            }
        } catch (HelpScreenException e) {
            System.exit(0);
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e);
            System.exit(EXIT_USAGE);
        } catch (InvalidEntrySettingsException | IOException e) {
            System.err.println("entry: invalid settings: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (RuntimeException e) {
            System.err.println("entry: cannot run: " + e);
            System.exit(EXIT_FAILED);
        }
    }

    private static void runCommandLine(String[] arguments, String defaultFile)
            throws ArgumentParserException, IOException, InterruptedException {
        Namespace parsed = parser().parseArgs(arguments);
        String path = parsed.getString("settings_file");
        SettingsFile file = new SettingsFile(Path.of(path == null ? defaultFile : path));
        EntrySettings settings = file.read();
        if (parsed.getBoolean("check")) {
            System.out.println("The settings are valid.");
        } else {
            run(settings, file);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("turmericspan entry")
                .terminalWidthDetection(false)
                .build()
                .description("An entry node that reads its fleet from the platform's store.")
                .epilog("Exit codes: 0 stopped as planned or settings valid, 1 failed, 2 invalid settings.");
        parser.addArgument("--settings-file")
                .metavar("PATH")
                .help("settings as name=value lines; the variable " + SETTINGS_VARIABLE + " names it otherwise");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("check the settings and exit");
        return parser;
    }

    private static void run(EntrySettings settings, SettingsFile file) throws InterruptedException {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        EntryNode node = DaggerEntryComponent.factory().create(settings).node();
        node.start(file);
        Signals.onHangUp(node::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        new CountDownLatch(1).await();
    }

    /** Ends the process with code 0, where a plain return would leave the code of the signal. */
    private static void stop(EntryNode node) {
        node.close();
        Runtime.getRuntime().halt(0);
    }
}
