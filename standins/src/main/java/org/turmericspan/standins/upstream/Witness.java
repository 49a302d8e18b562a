package org.turmericspan.standins.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What one upstream saw, as JSON.
 *
 * @param started requests started
 * @param finished requests finished
 * @param maxRunning highest number held at a time
 * @param coldOverruns times more was held than a cold upstream bears
 * @param probes probes answered
 * @param shed requests shed
 * @param crashes times it crashed
 * @param lastStartedMillis wall time of the last start, in milliseconds since the epoch
 * @param isCold whether it is cold now
 */
record Witness(
        @JsonProperty("started") long started,
        @JsonProperty("finished") long finished,
        @JsonProperty("max_running") int maxRunning,
        @JsonProperty("cold_overruns") long coldOverruns,
        @JsonProperty("probes") long probes,
        @JsonProperty("shed") long shed,
        @JsonProperty("crashes") long crashes,
        @JsonProperty("last_started_ms") long lastStartedMillis,
        @JsonProperty("cold") boolean isCold) {}
