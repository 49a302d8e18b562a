package org.turmericspan.retry;

import java.util.OptionalLong;
import org.turmericspan.ids.ServiceId;

/** Tells a quantile of the recent latencies of a service. */
@FunctionalInterface
public interface LatencyQuantile {
    /**
     * Returns the quantile the source was built for.
     *
     * @param service the service
     * @return nanoseconds from the first byte sent to the whole answer, or empty while too little is known
     */
    OptionalLong quantileNanos(ServiceId service);
}
