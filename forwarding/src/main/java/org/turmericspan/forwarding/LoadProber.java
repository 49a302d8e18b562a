package org.turmericspan.forwarding;

import org.turmericspan.balancing.Registration;

/** Probes upstreams for their current load. The results are recorded in the upstream table. */
@FunctionalInterface
public interface LoadProber {
    /**
     * Probes one upstream, or joins a probe of it that is in flight.
     *
     * @param upstream the upstream
     * @param onCompleted runs once, on any worker, when the upstream has responded or failed, and immediately when
     *     the probe budget is exhausted
     */
    void probe(Registration upstream, Runnable onCompleted);
}
