package org.turmericspan.standins.demo;

/**
 * One phase of the demonstration.
 *
 * @param name state of the zones during the phase, as printed
 * @param lookups results of the idempotent requests
 * @param orders results of the non-idempotent requests
 */
record Phase(String name, PhaseCounts lookups, PhaseCounts orders) {
    static Phase named(String name) {
        return new Phase(name, new PhaseCounts(), new PhaseCounts());
    }
}
