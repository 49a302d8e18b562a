package org.turmericspan.bench;

import java.util.Locale;

/** Quantities that a scenario may measure. The name in lower case is the field in {@code result.json}. */
public enum Measure {
    /** Median latency of served requests, in microseconds. */
    P50_US,
    /** 99th percentile of latency, in microseconds. */
    P99_US,
    /** 99.9th percentile of latency, in microseconds. */
    P999_US,
    /** Requests whose complete response arrived. */
    SERVED,
    /** Requests that the load balancer refused as not run. */
    REFUSED,
    /** Requests without any response. */
    FAILED,
    /** Requests whose outcome is unknown to their caller. */
    UNKNOWN,
    /** Times a cold upstream held more requests than its cold capacity. */
    COLD_OVERRUNS,
    /** Non-idempotent requests that ran more than once. */
    DUPLICATE_RUNS,
    /** Requests that were reported as not run, but ran. */
    FALSE_NOT_RUN,
    /** Responses that belonged to a request of another caller. */
    CROSSED_ANSWERS,
    /** Responses that looked complete and were truncated. */
    SHORT_ANSWERS,
    /** Time from the publication that takes a zone out to the last request started in it, in milliseconds. */
    LATE_NEW_WORK_MS,
    /** Probes per second that the upstreams received. */
    PROBES_PER_S,
    /** Probes per second that the configuration allows. */
    PROBE_BUDGET_PER_S,
    /** Reads per second that the platform received. */
    PLATFORM_READS_PER_S,
    /** Processor time of one node without calls, in percent of a core. */
    CONTROL_CPU_PCT,
    /** Bytes per second that one node exchanges with its peers without calls. */
    CONTROL_BYTES_PER_S,
    /** Live heap of one node without calls, in bytes. */
    CONTROL_HEAP_BYTES,
    /** Time from publication until the configuration is active on the last node, in milliseconds. */
    CONFIG_IN_FORCE_MS,
    /** Upstreams that crashed. */
    UPSTREAMS_LOST,
    /** Latency that the node adds at the median, in microseconds. */
    ADDED_P50_US,
    /** Latency that the node adds at the 99th percentile, in microseconds. */
    ADDED_P99_US,
    /** Processor time of all nodes per call, in microseconds. */
    CALL_CPU_US,
    /** 99th percentile of latency during an event, divided by the one before it. */
    P99_RATIO_EVENT,
    /** Goodput at an offered load of twice the capacity, divided by the goodput at the capacity. */
    GOODPUT_RATIO,
    /** Highest number of requests that one upstream held at the same time. */
    MAX_RUNNING;

    /**
     * Returns the field name in {@code result.json}.
     *
     * @return the name in lower case
     */
    public String field() {
        return name().toLowerCase(Locale.ROOT);
    }
}
