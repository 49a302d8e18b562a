package org.turmericspan.standins.demo;

import java.io.PrintStream;

/** Prints what was served. */
final class DemoTable {
    private static final String HEAD = "%-14s %-8s %7s %9s %8s %7s %8s %8s  %s%n";
    private static final String ROW = "%-14s %-8s %7d %9d %8d %7d %8.1f %8.1f  %s%n";

    private final PrintStream out;
    private boolean allLookupsAnswered = true;

    DemoTable(PrintStream out) {
        this.out = out;
    }

    void head() {
        out.printf(
                HEAD, "PHASE", "REQUEST", "SENT", "ANSWERED", "REFUSED", "FAILED", "P50_MS", "P99_MS", "RUN IN zone-b");
    }

    void row(Phase phase, long runInZone) {
        row(phase.name(), "lookup", phase.lookups(), "");
        row(phase.name(), "order", phase.orders(), Long.toString(runInZone));
        allLookupsAnswered &= phase.lookups().sent() == phase.lookups().answered();
    }

    void verdict(String claim, boolean holds) {
        out.println((holds ? "yes  " : "NO   ") + claim);
    }

    boolean allLookupsAnswered() {
        return allLookupsAnswered;
    }

    private void row(String phase, String request, PhaseCounts counts, String runInZone) {
        out.printf(
                ROW,
                phase,
                request,
                counts.sent(),
                counts.answered(),
                counts.refused(),
                counts.failed(),
                counts.medianMillis(),
                counts.p99Millis(),
                runInZone);
    }
}
