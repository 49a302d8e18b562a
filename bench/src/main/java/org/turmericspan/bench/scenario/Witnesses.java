package org.turmericspan.bench.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import org.turmericspan.standins.fleet.Fleet;

/** Reads what the stand-in upstreams saw. */
final class Witnesses {
    private Witnesses() {}

    static long max(Fleet fleet, String field) {
        long max = 0;
        for (JsonNode one : fleet.witness()) {
            max = Math.max(max, one.path(field).asLong());
        }
        return max;
    }
}
