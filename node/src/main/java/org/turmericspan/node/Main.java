package org.turmericspan.node;

import java.util.concurrent.CountDownLatch;

/** Entry point of the binary {@code turmericspan}. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs a node until it is told to stop.
     *
     * @param arguments the command line
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        SettingsReader reader = new SettingsReader(System.getenv());
        NodeSettings settings;
        try {
            settings = reader.read(arguments);
        } catch (SettingsReader.StopException e) {
            System.exit(e.exitCode());
            return;
        }
        run(settings);
    }

    private static void run(NodeSettings settings) throws InterruptedException {
        Node node = DaggerNodeComponent.builder().settings(settings).build().node();
        node.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        new CountDownLatch(1).await();
    }

    /** Ends the process with code 0, where a plain return would leave the code of the signal. */
    private static void stop(Node node) {
        node.close();
        Runtime.getRuntime().halt(0);
    }

    static int usageExitCode() {
        return EXIT_USAGE;
    }
}
