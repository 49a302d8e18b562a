package org.turmericspan.calls;

import java.time.Duration;

/**
 * Response of an upstream to a probe.
 *
 * @param signals state that the upstream reported
 * @param latency time from sending the probe to receiving the complete response
 * @param bytes size of the probe and its response
 */
public record ProbeReport(UpstreamSignals signals, Duration latency, long bytes) {}
