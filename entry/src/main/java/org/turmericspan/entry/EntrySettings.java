package org.turmericspan.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Properties;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.caps.CapLimits;
import org.turmericspan.feed.ChangeLimits;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.zones.CrossingCost;

/**
 * Validated settings of an entry node.
 *
 * @param vm name of the VM, written to each log line
 * @param availabilityZone availability zone of the node
 * @param callerAddress address on which callers connect
 * @param readinessAddress address of the platform's readiness check
 * @param directoryAddress address on which callers resolve node addresses
 * @param metricsAddress address of the metrics and the state dump
 * @param gossipAddress address for gossip and store reads of other nodes
 * @param seedHosts hosts of nodes through which this node joins the fleet; may be empty or stale
 * @param storeAddress address of the platform's store
 * @param rules configured limits for the fleet that balancing decisions observe
 * @param changeLimits time within which a confirmed change of the store is in force on each node, and the waits on its
 *     way; setting {@code change-limit-seconds}
 * @param graceNanos grace period from the stop signal until the platform kills the process, in nanoseconds
 * @param directoryTtlSeconds time to live of directory responses, in seconds; setting {@code max-answer-life-seconds}
 * @param probesPerSecond configured limit of probes per second of one upstream by all nodes together
 * @param probeIntervalMillis interval between this node's probes of one upstream, in milliseconds
 * @param crossingCost cost of serving a request in another zone; empty unless zones share work, which the setting
 *     {@code zone-sharing} switches on
 * @param waitingRoomRequests largest number of requests that wait for one service; 0 if there is no waiting room
 * @param caps settings of the caps on the requests of tenants; empty when the deployment has none
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
        ChangeLimits changeLimits,
        long graceNanos,
        long directoryTtlSeconds,
        double probesPerSecond,
        long probeIntervalMillis,
        Optional<CrossingCost> crossingCost,
        int waitingRoomRequests,
        Optional<CapSettings> caps) {
    /** Name of the setting of the change limit. */
    static final String CHANGE_LIMIT_SECONDS = "change-limit-seconds";

    /** Name of the setting of the largest number of requests that wait for one service. */
    static final String WAITING_ROOM_REQUESTS = "waiting-room-requests";

    private static final String COLD_OVERAGE = "cold-overage";
    private static final String COLD_SLACK = "cold-slack";
    private static final String RETRY_RATIO = "retry-ratio";
    private static final String RETRY_SLACK = "retry-slack";
    private static final String RETRY_WINDOW_SECONDS = "retry-window-seconds";
    private static final String GRACE_SECONDS = "grace-seconds";
    private static final String DIRECTORY_TTL_SECONDS = "max-answer-life-seconds";
    private static final String PROBES_PER_SECOND = "probes-per-second";
    /** Names of the settings whose numbers the operators have agreed on. */
    static final List<String> NUMERIC_SETTINGS = List.of(
            COLD_OVERAGE,
            COLD_SLACK,
            RETRY_RATIO,
            RETRY_SLACK,
            RETRY_WINDOW_SECONDS,
            GRACE_SECONDS,
            DIRECTORY_TTL_SECONDS,
            PROBES_PER_SECOND);

    private static final String CAP_ADDRESS = "cap-address";
    private static final String CAP_WINDOW_SECONDS = "cap-window-seconds";
    private static final String CAP_OVERAGE = "cap-overage";
    private static final String FIRST_START = "first-start";
    private static final String ZONES = "zones";
    private static final String CAP_SLACK = "cap-slack";

    /** Names of the settings that the environment may state in place of the file. */
    static final List<String> ENVIRONMENT_SETTINGS =
            List.of(CHANGE_LIMIT_SECONDS, CAP_ADDRESS, CAP_WINDOW_SECONDS, CAP_OVERAGE, CAP_SLACK, ZONES);

    /** Probe interval if the probe limit allows it; requests that need more recent load data probe on demand. */
    private static final long MIN_PROBE_INTERVAL_MILLIS = 250;
    /** Share of the probe limit that the owner of an upstream uses, since two nodes may briefly own it. */
    private static final double OWNER_PROBE_SHARE = 0.2;

    /** Change limit of settings files that do not state one. */
    private static final double DEFAULT_CHANGE_LIMIT_SECONDS = 2;
    /** Least change limit; shorter waits would end before responses arrive. */
    private static final double MIN_CHANGE_LIMIT_SECONDS = 1;

    private static final String ZONE_SHARING = "zone-sharing";
    private static final String CROSS_ZONE_COST_PERCENT = "cross-zone-cost-percent";
    private static final String CROSS_ZONE_ROUND_TRIP_MILLIS = "cross-zone-round-trip-ms";
    /** Cost of crossing of settings files that do not state one, in percent of the usual work of a request. */
    private static final double DEFAULT_CROSS_ZONE_COST_PERCENT = 30;
    /** Round trip between zones of settings files that do not state one. */
    private static final double DEFAULT_CROSS_ZONE_ROUND_TRIP_MILLIS = 4;
    /** Largest bound of a waiting room; a longer one would hold requests that nobody waits for any more. */
    private static final int MAX_WAITING_ROOM_REQUESTS = 4_096;

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Creates settings with a copy of the seed hosts. */
    public EntrySettings {
        seedHosts = List.copyOf(seedHosts);
    }

    /**
     * Parses and validates settings.
     *
     * @param values values by the names of the settings; unknown names are ignored
     * @return the settings
     * @throws InvalidEntrySettingsException when settings are missing or invalid; it lists every error
     */
    public static EntrySettings of(Properties values) {
        Parser parser = new Parser(values);
        double probesPerSecond = parser.number(PROBES_PER_SECOND);
        EntrySettings settings = new EntrySettings(
                parser.text("vm"),
                parser.value("availability-zone", AvailabilityZoneId::new, new AvailabilityZoneId("none")),
                parser.address("caller-address"),
                parser.address("readiness-address"),
                parser.address("directory-address"),
                parser.address("metrics-address"),
                parser.address("gossip-address"),
                parser.hosts("seeds"),
                parser.address("store-address"),
                new BalancingRules(
                        parser.number(COLD_OVERAGE),
                        parser.number(COLD_SLACK),
                        parser.number(RETRY_RATIO),
                        parser.number(RETRY_SLACK),
                        (long) (parser.number(RETRY_WINDOW_SECONDS) * NANOS_PER_SECOND)),
                new ChangeLimits(parser.changeLimit()),
                (long) (parser.number(GRACE_SECONDS) * NANOS_PER_SECOND),
                Math.max(1, (long) parser.number(DIRECTORY_TTL_SECONDS)),
                probesPerSecond,
                Math.max(MIN_PROBE_INTERVAL_MILLIS, (long)
                        Math.ceil(MILLIS_PER_SECOND / (OWNER_PROBE_SHARE * probesPerSecond))),
                parser.crossingCost(),
                parser.waitingRoomRequests(),
                parser.caps());
        if (!parser.errors.isEmpty()) {
            throw new InvalidEntrySettingsException(parser.errors);
        }
        return settings;
    }

    /** Parses values and collects the errors. */
    private static final class Parser {
        private static final SocketAddress PLACEHOLDER_ADDRESS = new SocketAddress("127.0.0.1", 1);

        private final Properties values;
        private final List<String> errors = new ArrayList<>();

        Parser(Properties values) {
            this.values = values;
        }

        String text(String name) {
            String text = values.getProperty(name, "").trim();
            if (text.isEmpty()) {
                errors.add(name + " is missing");
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
                errors.add(name + ": " + e.getMessage());
                return substitute;
            }
        }

        SocketAddress address(String name) {
            return value(name, SocketAddress::parse, PLACEHOLDER_ADDRESS);
        }

        double number(String name) {
            double number = value(name, Double::valueOf, 1.0);
            if (!(number >= 0)) {
                errors.add(name + " must not be negative");
            }
            return number;
        }

        Duration changeLimit() {
            double seconds = values.containsKey(CHANGE_LIMIT_SECONDS)
                    ? number(CHANGE_LIMIT_SECONDS)
                    : DEFAULT_CHANGE_LIMIT_SECONDS;
            if (seconds < MIN_CHANGE_LIMIT_SECONDS) {
                errors.add(CHANGE_LIMIT_SECONDS + " must be at least " + MIN_CHANGE_LIMIT_SECONDS);
                return Duration.ofSeconds(1);
            }
            return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
        }

        double number(String name, double defaultNumber) {
            return values.containsKey(name) ? number(name) : defaultNumber;
        }

        Optional<CrossingCost> crossingCost() {
            double percent = number(CROSS_ZONE_COST_PERCENT, DEFAULT_CROSS_ZONE_COST_PERCENT);
            double roundTripMillis = number(CROSS_ZONE_ROUND_TRIP_MILLIS, DEFAULT_CROSS_ZONE_ROUND_TRIP_MILLIS);
            switch (values.getProperty(ZONE_SHARING, "off").trim()) {
                case "on":
                    long roundTripNanos = (long) (roundTripMillis * TimeUnit.MILLISECONDS.toNanos(1));
                    return Optional.of(new CrossingCost(percent, roundTripNanos));
                case "off":
                    return Optional.empty();
                default:
                    errors.add(ZONE_SHARING + " must be on or off");
                    return Optional.empty();
            }
        }

        int waitingRoomRequests() {
            if (!values.containsKey(WAITING_ROOM_REQUESTS)) {
                return 0;
            }
            int requests = value(WAITING_ROOM_REQUESTS, Integer::valueOf, 1);
            if (requests < 1 || requests > MAX_WAITING_ROOM_REQUESTS) {
                errors.add(WAITING_ROOM_REQUESTS + " must be from 1 to " + MAX_WAITING_ROOM_REQUESTS);
            }
            return requests;
        }

        /** Parses the settings of caps, if the window is stated; the platform leaves it empty where there are none. */
        Optional<CapSettings> caps() {
            if (values.getProperty(CAP_WINDOW_SECONDS, "").isBlank()) {
                return Optional.empty();
            }
            long windowNanos = (long) (number(CAP_WINDOW_SECONDS) * NANOS_PER_SECOND);
            if (windowNanos <= 0) {
                errors.add(CAP_WINDOW_SECONDS + " must be above 0");
            }
            CapLimits limits = new CapLimits(
                    Math.max(1, windowNanos), Math.max(0, number(CAP_OVERAGE)), Math.max(0, number(CAP_SLACK)));
            boolean isFirstStart =
                    Boolean.parseBoolean(values.getProperty(FIRST_START, "").trim());
            return Optional.of(new CapSettings(address(CAP_ADDRESS), limits, zones(), isFirstStart));
        }

        private Set<AvailabilityZoneId> zones() {
            Set<AvailabilityZoneId> zones = new HashSet<>();
            for (String zone : values.getProperty(ZONES, "").split(",")) {
                if (!zone.isBlank()) {
                    zones.add(new AvailabilityZoneId(zone.trim()));
                }
            }
            return zones;
        }

        List<String> hosts(String name) {
            List<String> hosts = new ArrayList<>();
            for (String host : values.getProperty(name, "").split(",")) {
                if (!host.isBlank()) {
                    hosts.add(host.trim());
                }
            }
            try {
                return hosts.stream()
                        .map(host -> SocketAddress.parse(host).host())
                        .toList();
            } catch (IllegalArgumentException e) {
                errors.add(name + ": " + e.getMessage());
                return List.of();
            }
        }
    }
}
