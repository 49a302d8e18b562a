package org.turmericspan.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.turmericspan.bench.scenario.Scenarios;
import org.turmericspan.standins.fleet.ChildProcess;

/** Command line of the benchmark tool. Exits with 0 if all bounds are met, 1 if one is missed, 2 if the run failed. */
public final class Main {
    private static final int EXIT_BOUND_MISSED = 1;
    private static final int EXIT_COULD_NOT_RUN = 2;
    private static final int DEFAULT_SECONDS = 10;

    private Main() {}

    /**
     * Runs one scenario.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        BenchSettings settings = parse(arguments);
        Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::endAll, "end-children"));
        try {
            Report report = Scenarios.byName(settings.scenario()).run(settings);
            ReportPrinter.print(settings, report, System.out);
            ReportFiles.write(settings, report);
            System.exit(report.allBoundsMet() ? 0 : EXIT_BOUND_MISSED);
        } catch (RuntimeException e) {
            System.err.println("bench: could not run " + settings.scenario() + ": " + e);
            System.exit(EXIT_COULD_NOT_RUN);
        }
    }

    private static BenchSettings parse(String... arguments) {
        ArgumentParser parser = ArgumentParsers.newFor("bench")
                .build()
                .description("Runs one experiment over real processes on loopback.");
        parser.addArgument("scenario").choices(Scenarios.names()).help("experiment to run");
        parser.addArgument("--seconds")
                .type(Integer.class)
                .setDefault(DEFAULT_SECONDS)
                .help("length of the load (default: " + DEFAULT_SECONDS + ")");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of load and faults (default: 1)");
        parser.addArgument("--nodes").type(Integer.class).help("number of nodes (default: the preset's)");
        parser.addArgument("--upstreams").type(Integer.class).help("number of upstreams (default: the preset's)");
        parser.addArgument("--policy")
                .setDefault("keepers,baseline")
                .help("policies, separated by commas: keepers, hedges (keepers with hedges), baseline");
        parser.addArgument("--preset")
                .choices("small", "virumaa", "inkingi")
                .setDefault("small")
                .help("sizes and latencies of a deployment (default: small)");
        parser.addArgument("--out").setDefault("out").help("folder of the results (default: out)");
        return settings(parser.parseArgsOrFail(arguments));
    }

    private static BenchSettings settings(Namespace flags) {
        Preset preset = Preset.valueOf(flags.getString("preset").toUpperCase(Locale.ROOT));
        Integer nodes = flags.getInt("nodes");
        Integer upstreams = flags.getInt("upstreams");
        return new BenchSettings(
                flags.getString("scenario"),
                Duration.ofSeconds(flags.getInt("seconds")),
                flags.getLong("seed"),
                nodes == null ? preset.nodes() : nodes,
                upstreams == null ? preset.upstreams() : upstreams,
                Arrays.asList(flags.getString("policy").split(",")),
                preset,
                Path.of(flags.getString("out")));
    }
}
