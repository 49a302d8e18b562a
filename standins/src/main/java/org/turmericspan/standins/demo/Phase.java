package org.turmericspan.standins.demo;

/**
 * One phase of the demonstration.
 *
 * @param name what operators did before it
 * @param lookups idempotent requests
 * @param orders non-idempotent requests
 */
record Phase(String name, PhaseCounts lookups, PhaseCounts orders) {
    static Phase named(String name) {
        return new Phase(name, new PhaseCounts(), new PhaseCounts());
    }
}
