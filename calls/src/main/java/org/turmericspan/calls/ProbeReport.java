package org.turmericspan.calls;

import java.time.Duration;

/**
 * Answer of an upstream to a probe.
 *
 * @param signals what the upstream said of itself
 * @param latency time from sending to the whole answer
 * @param bytes size of the probe and its answer
 */
public record ProbeReport(UpstreamSignals signals, Duration latency, long bytes) {}
