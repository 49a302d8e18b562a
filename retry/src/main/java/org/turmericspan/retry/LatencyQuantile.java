package org.turmericspan.retry;

import java.util.OptionalLong;
import org.turmericspan.ids.ServiceId;

/** Estimates a fixed quantile of the recent latencies of a service. */
@FunctionalInterface
public interface LatencyQuantile {
    /**
     * Returns the quantile.
     *
     * @param service the service
     * @return nanoseconds from the first byte sent to the complete response, or empty while there are too few samples
     */
    OptionalLong quantileNanos(ServiceId service);
}
