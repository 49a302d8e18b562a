package org.turmericspan.calls;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.SocketAddress;

/** Probes upstreams for their load. */
@FunctionalInterface
public interface UpstreamProbe {
    /**
     * Sends one probe without blocking.
     *
     * @param address address at which the upstream listens
     * @param timeout maximum time to wait for the report
     * @return the report, or empty when none arrived in time; the stage never completes exceptionally
     */
    CompletionStage<Optional<ProbeReport>> send(SocketAddress address, Duration timeout);
}
