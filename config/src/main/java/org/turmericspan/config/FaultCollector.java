package org.turmericspan.config;

import java.util.ArrayList;
import java.util.List;

/** Lists faults up to a limit, so that the cost of an untrusted document is bounded, and counts the rest. */
final class FaultCollector {
    private static final int MAX_LISTED_FAULTS = 1_000;

    private final List<Fault> listed = new ArrayList<>();
    private int count;

    void add(Fault fault) {
        count++;
        if (listed.size() < MAX_LISTED_FAULTS) {
            listed.add(fault);
        }
    }

    int count() {
        return count;
    }

    List<Fault> toList() {
        if (count == listed.size()) {
            return List.copyOf(listed);
        }
        List<Fault> result = new ArrayList<>(listed);
        result.add(new Fault("set", "all objects", "", (count - listed.size()) + " further faults are not listed"));
        return List.copyOf(result);
    }
}
