package org.turmericspan.bench;

import java.util.Locale;

/** Everything a scenario may measure. The name in lower case is the field of {@code result.json}. */
public enum Measure {
    /** Median latency of served requests, in microseconds. */
    P50_US,
    /** 99th percentile of latency, in microseconds. */
    P99_US,
    /** 99.9th percentile of latency, in microseconds. */
    P999_US,
    /** Requests answered whole. */
    SERVED,
    /** Requests refused as not run. */
    REFUSED,
    /** Requests without any answer. */
    FAILED,
    /** Requests whose outcome is unknown to their caller. */
    UNKNOWN,
    /** Times a cold upstream held more than it bears. */
    COLD_OVERRUNS,
    /** Non-idempotent requests that ran more than once. */
    DUPLICATE_RUNS,
    /** Requests said to be not run that ran. */
    FALSE_NOT_RUN,
    /** Answers that were another caller's. */
    CROSSED_ANSWERS,
    /** Answers that looked whole and were not. */
    SHORT_ANSWERS,
    /** Latest new work after the publication that forbade it, in milliseconds. */
    LATE_NEW_WORK_MS,
    /** Probes a second that the upstreams saw. */
    PROBES_PER_S,
    /** Probes a second that the configuration allows. */
    PROBE_BUDGET_PER_S,
    /** Reads a second that the platform saw. */
    PLATFORM_READS_PER_S,
    /** Processor time of one node without calls, in percent of a core. */
    CONTROL_CPU_PCT,
    /** Bytes a second of one node to and from its peers. */
    CONTROL_BYTES_PER_S,
    /** Heap that one node holds without calls, in bytes. */
    CONTROL_HEAP_BYTES,
    /** From publication to in force on the last node, in milliseconds. */
    CONFIG_IN_FORCE_MS,
    /** Upstreams that crashed. */
    UPSTREAMS_LOST,
    /** Latency added by the node at the median, in microseconds. */
    ADDED_P50_US,
    /** Latency added by the node at the 99th percentile, in microseconds. */
    ADDED_P99_US,
    /** Processor time of all nodes for one call, in microseconds. */
    CALL_CPU_US,
    /** 99th percentile during an event against before it. */
    P99_RATIO_EVENT,
    /** Goodput at twice the capacity against at the capacity. */
    GOODPUT_RATIO,
    /** Highest number of requests an upstream held at a time. */
    MAX_RUNNING;

    /**
     * Returns the field name.
     *
     * @return the name in lower case
     */
    public String field() {
        return name().toLowerCase(Locale.ROOT);
    }
}
