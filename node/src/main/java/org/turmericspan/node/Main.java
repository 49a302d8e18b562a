package org.turmericspan.node;

import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Entry point of the binary {@code turmericspan}. */
public final class Main {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a node until the process receives a stop signal.
     *
     * @param arguments command line arguments
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        try {
            CommandLine commandLine = CommandLine.parse(arguments);
            NodeSettings settings = new SettingsReader(System.getenv()).read(commandLine);
            if (commandLine.checkOnly()) {
                System.out.println("The settings are valid.");
                System.exit(EXIT_OK);
            }
            LogSettings.apply(settings);
            run(settings);
        } catch (HelpScreenException e) {
            System.exit(EXIT_OK);
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e);
            System.exit(EXIT_USAGE);
        } catch (InvalidSettingsException e) {
            e.errors().forEach(System.err::println);
            System.exit(EXIT_USAGE);
        } catch (RuntimeException e) {
            System.err.println("node: cannot run: " + e.getMessage());
            System.exit(EXIT_FAILED);
        }
    }

    private static void run(NodeSettings settings) throws InterruptedException {
        Node node = DaggerNodeComponent.builder().settings(settings).build().node();
        node.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        new CountDownLatch(1).await();
    }

    /** Ends the process with exit code 0; without the halt the exit code would be that of the signal. */
    private static void stop(Node node) {
        node.close();
        Runtime.getRuntime().halt(0);
    }
}
