package org.turmericspan.bench.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import org.turmericspan.standins.fleet.Fleet;

/** Aggregates the counters of the stand-in upstreams. */
final class UpstreamCounters {
    private UpstreamCounters() {}

    static long max(Fleet fleet, String field) {
        long max = 0;
        for (JsonNode upstream : fleet.witness()) {
            max = Math.max(max, upstream.path(field).asLong());
        }
        return max;
    }
}
