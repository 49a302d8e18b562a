package org.turmericspan.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * Checked settings of an entry node.
 *
 * @param vm name of the VM, written in each log line
 * @param availabilityZone where the node runs
 * @param callerAddress where callers connect
 * @param readinessAddress where the platform asks whether the node is ready
 * @param directoryAddress where callers ask for addresses
 * @param metricsAddress where metrics and the state dump are served
 * @param gossipAddress where other nodes send digests
 * @param seedHosts hosts of nodes to join through; may be empty or stale
 * @param storeAddress where the platform's store listens
 * @param rules agreed bounds that decisions keep
 * @param graceNanos time from the stop signal to the kill
 * @param answerLifeSeconds how long callers may keep a directory answer
 * @param probesPerSecond agreed probes of one upstream a second, by all nodes
 * @param probeIntervalMillis pause between probes of one upstream
 */
public record EntrySettings(
        String vm,
        AvailabilityZoneId availabilityZone,
        SocketAddress callerAddress,
        SocketAddress readinessAddress,
        SocketAddress directoryAddress,
        SocketAddress metricsAddress,
        SocketAddress gossipAddress,
        List<String> seedHosts,
        SocketAddress storeAddress,
        BalancingRules rules,
        long graceNanos,
        long answerLifeSeconds,
        double probesPerSecond,
        long probeIntervalMillis) {
    private static final String COLD_OVERAGE = "cold-overage";
    private static final String COLD_SLACK = "cold-slack";
    private static final String RETRY_RATIO = "retry-ratio";
    private static final String RETRY_SLACK = "retry-slack";
    private static final String RETRY_WINDOW_SECONDS = "retry-window-seconds";
    private static final String GRACE_SECONDS = "grace-seconds";
    private static final String MAX_ANSWER_LIFE_SECONDS = "max-answer-life-seconds";
    private static final String PROBES_PER_SECOND = "probes-per-second";
    /** Names of the settings whose numbers the operators agree on. */
    static final List<String> AGREED_NUMBERS = List.of(
            COLD_OVERAGE,
            COLD_SLACK,
            RETRY_RATIO,
            RETRY_SLACK,
            RETRY_WINDOW_SECONDS,
            GRACE_SECONDS,
            MAX_ANSWER_LIFE_SECONDS,
            PROBES_PER_SECOND);

    /** Pause between probes when the agreed budget allows it; requests ask for fresher load where they need it. */
    private static final long PROBE_INTERVAL_MILLIS = 250;
    /** Part of the agreed probes that owners spend, since two nodes may own an upstream for a moment. */
    private static final double PROBE_PART = 0.2;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Copies the list. */
    public EntrySettings {
        seedHosts = List.copyOf(seedHosts);
    }

    /**
     * Checks settings.
     *
     * @param values text by name
     * @return the settings
     * @throws InvalidEntrySettingsException naming every fault
     */
    public static EntrySettings of(Properties values) {
        Reader reader = new Reader(values);
        double probesPerSecond = reader.number(PROBES_PER_SECOND);
        EntrySettings settings = new EntrySettings(
                reader.text("vm"),
                reader.value("availability-zone", AvailabilityZoneId::new, new AvailabilityZoneId("none")),
                reader.address("caller-address"),
                reader.address("readiness-address"),
                reader.address("directory-address"),
                reader.address("metrics-address"),
                reader.address("gossip-address"),
                reader.hosts("seeds"),
                reader.address("store-address"),
                new BalancingRules(
                        reader.number(COLD_OVERAGE),
                        reader.number(COLD_SLACK),
                        reader.number(RETRY_RATIO),
                        reader.number(RETRY_SLACK),
                        (long) (reader.number(RETRY_WINDOW_SECONDS) * NANOS_PER_SECOND)),
                (long) (reader.number(GRACE_SECONDS) * NANOS_PER_SECOND),
                Math.max(1, (long) reader.number(MAX_ANSWER_LIFE_SECONDS)),
                probesPerSecond,
                Math.max(PROBE_INTERVAL_MILLIS, (long) Math.ceil(MILLIS_PER_SECOND / (PROBE_PART * probesPerSecond))));
        if (!reader.faults.isEmpty()) {
            throw new InvalidEntrySettingsException(reader.faults);
        }
        return settings;
    }

    /** Reads values and gathers the faults. */
    private static final class Reader {
        private static final SocketAddress NOWHERE = new SocketAddress("127.0.0.1", 1);

        private final Properties values;
        private final List<String> faults = new ArrayList<>();

        Reader(Properties values) {
            this.values = values;
        }

        String text(String name) {
            String text = values.getProperty(name, "").trim();
            if (text.isEmpty()) {
                faults.add(name + " is missing");
            }
            return text;
        }

        <T> T value(String name, Function<String, T> parser, T substitute) {
            String text = text(name);
            if (text.isEmpty()) {
                return substitute;
            }
            try {
                return parser.apply(text);
            } catch (IllegalArgumentException e) {
                faults.add(name + ": " + e.getMessage());
                return substitute;
            }
        }

        SocketAddress address(String name) {
            return value(name, SocketAddress::parse, NOWHERE);
        }

        double number(String name) {
            double number = value(name, Double::valueOf, 1.0);
            if (!(number >= 0)) {
                faults.add(name + " must not be negative");
            }
            return number;
        }

        List<String> hosts(String name) {
            List<String> hosts = new ArrayList<>();
            for (String each : values.getProperty(name, "").split(",")) {
                if (!each.isBlank()) {
                    hosts.add(each.trim());
                }
            }
            try {
                return hosts.stream()
                        .map(host -> SocketAddress.parse(host).host())
                        .toList();
            } catch (IllegalArgumentException e) {
                faults.add(name + ": " + e.getMessage());
                return List.of();
            }
        }
    }
}
