package org.turmericspan.standins.upstream;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line of the upstream stand-in, which runs one upstream per port. */
public final class UpstreamMain {
    private static final int DEFAULT_SLOTS = 3;
    private static final int DEFAULT_QUEUE_LIMIT = 16;
    private static final int DEFAULT_WARM_AFTER_REQUESTS = 5;
    private static final int DEFAULT_RESTART_DELAY_MILLIS = 500;

    private UpstreamMain() {}

    /**
     * Starts the upstreams and their control port.
     *
     * @param flags see {@code --help}
     */
    public static void start(String... flags) {
        ArgumentParser parser = ArgumentParsers.newFor("upstream").build();
        parser.addArgument("--ports").required(true).help("comma-separated ports; one upstream listens on each");
        parser.addArgument("--control-port").type(Integer.class).required(true);
        parser.addArgument("--slots").type(Integer.class).setDefault(DEFAULT_SLOTS);
        parser.addArgument("--queue-limit").type(Integer.class).setDefault(DEFAULT_QUEUE_LIMIT);
        parser.addArgument("--cold-requests").type(Integer.class).setDefault(1);
        parser.addArgument("--warm-after").type(Integer.class).setDefault(DEFAULT_WARM_AFTER_REQUESTS);
        parser.addArgument("--restart-ms").type(Integer.class).setDefault(DEFAULT_RESTART_DELAY_MILLIS);
        Namespace options = parser.parseArgsOrFail(flags);
        List<Integer> ports = Arrays.stream(options.getString("ports").split(","))
                .map(Integer::valueOf)
                .toList();
        UpstreamSettings upstreamSettings = new UpstreamSettings(
                options.getInt("slots"),
                options.getInt("queue_limit"),
                options.getInt("cold_requests"),
                options.getInt("warm_after"),
                Duration.ofMillis(options.getInt("restart_ms")));
        new UpstreamServer(ports, options.getInt("control_port"), upstreamSettings).start();
    }
}
