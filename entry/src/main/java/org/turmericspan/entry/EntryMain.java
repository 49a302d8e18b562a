package org.turmericspan.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Starts an entry node on the users' platform. */
public final class EntryMain {
    /** Environment variable with the path of the settings file. */
    static final String SETTINGS_VARIABLE = "TURMERICSPAN_SETTINGS_FILE";

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILED = 1;

    private EntryMain() {}

    /**
     * Runs a node until the process receives a stop signal.
     *
     * @param arguments the command line
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        try {
            String variable = System.getenv(SETTINGS_VARIABLE);
            if (arguments.length == 0 && variable != null) {
                // The usual start does not load the command-line library, which takes a tenth of a second.
                run(new SettingsFile(Path.of(variable)));
            } else {
                EntryCommandLine.run(arguments, variable == null ? "" : variable);
            }
        } catch (InvalidEntrySettingsException | IOException e) {
            System.err.println("entry: invalid settings: " + e.getMessage());
            System.exit(EXIT_USAGE);
        } catch (RuntimeException e) {
            System.err.println("entry: cannot run: " + e);
            System.exit(EXIT_FAILED);
        }
    }

    /** Runs a node until the process receives a stop signal. */
    static void run(SettingsFile file) throws IOException, InterruptedException {
        HangUpSignals signals = HangUpSignals.register();
        EntryNode node = NodeLauncher.launch(file.read(), file);
        signals.handleWith(node::reload);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        node.watchWorkers(() -> Runtime.getRuntime().halt(EXIT_FAILED));
        new CountDownLatch(1).await();
    }

    /** Halts the process with exit code 0; a normal return would leave the exit code of the signal. */
    private static void stop(EntryNode node) {
        node.close();
        Runtime.getRuntime().halt(0);
    }
}
