package org.turmericspan.calls;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.SocketAddress;

/** Asks upstreams how loaded they are. */
@FunctionalInterface
public interface UpstreamProbe {
    /**
     * Sends one probe without blocking.
     *
     * @param address where the upstream listens
     * @param timeout how long to wait
     * @return the report, or empty when there was none; the stage never completes exceptionally
     */
    CompletionStage<Optional<ProbeReport>> send(SocketAddress address, Duration timeout);
}
