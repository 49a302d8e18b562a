package org.turmericspan.standins;

import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.turmericspan.standins.network.FaultProxyMain;
import org.turmericspan.standins.platform.PlatformMain;
import org.turmericspan.standins.upstream.UpstreamMain;

/** Entry point of the stand-ins. The first argument selects {@code platform}, {@code upstream} or {@code proxy}. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs one stand-in until the process is terminated.
     *
     * @param arguments name of the stand-in and its flags
     * @throws Exception when the stand-in cannot start
     */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length == 0) {
            System.err.println("usage: platform|upstream|proxy FLAGS");
            System.exit(EXIT_USAGE);
        }
        String[] flags = Arrays.copyOfRange(arguments, 1, arguments.length);
        switch (arguments[0]) {
            case "platform" -> PlatformMain.start(flags);
            case "upstream" -> UpstreamMain.start(flags);
            case "proxy" -> FaultProxyMain.start(flags);
            default -> System.exit(EXIT_USAGE);
        }
        new CountDownLatch(1).await();
    }
}
