package org.turmericspan.node;

import java.util.Locale;

/**
 * Settings of a node, each with its flag, environment variable, type, default and description. To add a setting, add a
 * constant here, a component to {@link NodeSettings}, and a line to {@link NodeSettings#of}.
 */
enum Setting {
    /** Name of the VM. */
    VM("vm", SettingType.VM_NAME, "", "name of the VM the node runs on, as the platform lists it"),
    /** Availability zone of the VM. */
    AVAILABILITY_ZONE("availability-zone", SettingType.ZONE_NAME, "", "availability zone of the VM"),
    /** Address on which the node accepts connections of callers. */
    CALLER_ADDRESS("caller-address", SettingType.ADDRESS, "127.0.0.1:8080", "where callers connect"),
    /** Address on which the node accepts connections of operators. */
    OPERATOR_ADDRESS("operator-address", SettingType.ADDRESS, "127.0.0.1:8081", "where operators connect"),
    /** Address on which the node accepts connections of other nodes. */
    PEER_ADDRESS("peer-address", SettingType.ADDRESS, "127.0.0.1:8082", "where other nodes connect"),
    /** Address of the platform service. */
    PLATFORM_ADDRESS("platform-address", SettingType.ADDRESS, "127.0.0.1:8090", "where the platform service listens"),
    /** Key with which the nodes of a deployment authenticate one another. */
    DEPLOYMENT_KEY(
            "deployment-key",
            SettingType.secret(Setting.MIN_KEY_LENGTH),
            "",
            "key shared by the nodes of a deployment; better given by the variable, since flags show in process lists"),
    /** Number of threads in the worker pool. */
    WORKER_THREADS(
            "worker-threads",
            SettingType.wholeNumber(1, Setting.MAX_THREADS, "threads"),
            "4",
            "threads of the worker pool"),
    /** Policy by which slots are granted. Its value {@code keepers} means the owners of the upstreams. */
    SLOT_POLICY(
            "slot-policy",
            SettingType.oneOf(Setting.OWNERS, "baseline"),
            Setting.OWNERS,
            "keepers divides the upstreams among the nodes; baseline lets each node take the less loaded of two"),
    /** Maximum lag of the list of VMs. */
    VIEW_LAG_BOUND(
            "view-lag-bound",
            SettingType.wholeNumber(Setting.MIN_LAG_MILLIS, Setting.MAX_LAG_MILLIS, "milliseconds"),
            "5000",
            "longest time by which the platform's list of VMs may lag; beyond it a cold upstream may be overrun"),
    /** Time to live of a locate response. */
    LOCATE_TIME_TO_LIVE(
            "locate-ttl",
            SettingType.wholeNumber(1, Setting.MAX_LOCATE_TTL_SECONDS, "seconds"),
            "5",
            "how long callers may keep a locate answer; the same on all nodes, since a stopping node serves that long"),
    /** Maximum duration of a planned stop. */
    STOP_LIMIT(
            "stop-limit",
            SettingType.wholeNumber(Setting.MIN_STOP_LIMIT_SECONDS, Setting.MAX_STOP_LIMIT_SECONDS, "seconds"),
            "60",
            "longest planned stop, after which calls still in flight are cut off"),
    /** Length of an epoch of run tokens. */
    RUN_EPOCH(
            "run-epoch",
            SettingType.wholeNumber(1, Setting.MAX_EPOCH_SECONDS, "seconds"),
            "30",
            "length of an epoch of run tokens; a token is valid for ten epochs"),
    /** Maximum number of entries in the run table. */
    RUN_TABLE_ENTRIES(
            "run-table-entries",
            SettingType.wholeNumber(1, Setting.MAX_RUN_ENTRIES, "runs"),
            "50000",
            "runs remembered at a time, beyond which new non-idempotent requests are refused"),
    /** Maximum size of the responses stored in the run table. */
    RUN_TABLE_SIZE(
            "run-table-size",
            SettingType.wholeNumber(1, Setting.MAX_RUN_MEGABYTES, "MB"),
            "16",
            "size of stored answers, beyond which new non-idempotent requests are refused"),
    /** Which extra attempts are made: retries, hedges or none. */
    RETRY_POLICY(
            "repeat-policy",
            SettingType.oneOf("retries", "hedges", "none"),
            "retries",
            "repeats of calls within their budget: retries, retries and hedges, or none"),
    /** Whether requests that crash upstreams are quarantined. */
    SUSPECT_POLICY(
            "suspect-policy",
            SettingType.oneOf("quarantine", "none"),
            "quarantine",
            "requests on which upstreams died: run alone once and then quarantined, or nothing"),
    /** Format of log lines. */
    LOG_FORMAT("log-format", SettingType.oneOf("plain", "json"), "plain", "form of the lines logged to standard error"),
    /** Least severe level that is logged. */
    LOG_LEVEL(
            "log-level",
            SettingType.oneOf("error", "warn", "info", "debug"),
            "info",
            "least severe level of the node's own lines that is logged");

    private static final int MIN_KEY_LENGTH = 16;
    private static final int MAX_THREADS = 64;
    private static final int MIN_LAG_MILLIS = 100;
    private static final int MAX_LAG_MILLIS = 600_000;
    private static final String OWNERS = "keepers";
    private static final int MAX_LOCATE_TTL_SECONDS = 60;
    private static final int MIN_STOP_LIMIT_SECONDS = 10;
    private static final int MAX_STOP_LIMIT_SECONDS = 3_600;
    private static final int MAX_EPOCH_SECONDS = 3_600;
    private static final int MAX_RUN_ENTRIES = 10_000_000;
    private static final int MAX_RUN_MEGABYTES = 1_024;
    private static final String VARIABLE_PREFIX = "TURMERICSPAN_";

    private final String flag;
    private final SettingType<?> type;
    private final String defaultValue;
    private final String description;

    Setting(String flag, SettingType<?> type, String defaultValue, String description) {
        this.flag = flag;
        this.type = type;
        this.defaultValue = defaultValue;
        this.description = description;
    }

    String flag() {
        return "--" + flag;
    }

    String parserKey() {
        return flag;
    }

    String environmentVariable() {
        return VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    SettingType<?> type() {
        return type;
    }

    /** Returns the default as text; empty when the setting must be given. */
    String defaultValue() {
        return defaultValue;
    }

    boolean isRequired() {
        return defaultValue.isEmpty();
    }

    String description() {
        return description;
    }
}
