package org.turmericspan.standins.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Statistics of one upstream, written as JSON at {@code /control/witness}.
 *
 * @param started requests started
 * @param finished requests finished
 * @param maxInFlight highest number of requests in flight, which are running or queued; {@code max_running} in JSON
 * @param coldOverruns times that more requests were in flight than a cold upstream can handle
 * @param probes probes answered
 * @param shed requests rejected because the upstream was full or leaving
 * @param crashes crashes of the upstream
 * @param lastStartedMillis wall-clock time at which a request last started, in milliseconds since the epoch
 * @param isCold whether the upstream is cold
 */
record UpstreamStatistics(
        @JsonProperty("started") long started,
        @JsonProperty("finished") long finished,
        @JsonProperty("max_running") int maxInFlight,
        @JsonProperty("cold_overruns") long coldOverruns,
        @JsonProperty("probes") long probes,
        @JsonProperty("shed") long shed,
        @JsonProperty("crashes") long crashes,
        @JsonProperty("last_started_ms") long lastStartedMillis,
        @JsonProperty("cold") boolean isCold) {}
