package org.turmericspan.config;

import java.util.ArrayList;
import java.util.List;

/** Collects faults up to a limit, so that a hostile document has a bounded cost, and counts the rest. */
final class FaultCollector {
    private static final int MAX_LISTED = 1_000;

    private final List<Fault> listed = new ArrayList<>();
    private int count;

    void add(Fault fault) {
        count++;
        if (listed.size() < MAX_LISTED) {
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
        List<Fault> all = new ArrayList<>(listed);
        all.add(new Fault("set", "all objects", "", (count - listed.size()) + " further faults are not listed"));
        return List.copyOf(all);
    }
}
