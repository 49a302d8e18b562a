package org.turmericspan.standins.demo;

import java.io.PrintStream;

/** Prints the results of each phase as a table, followed by the checks. */
final class DemoTable {
    private static final String HEADER_FORMAT = "%-14s %-8s %7s %9s %8s %7s %8s %8s  %s%n";
    private static final String ROW_FORMAT = "%-14s %-8s %7d %9d %8d %7d %8.1f %8.1f  %s%n";

    private final PrintStream out;
    private boolean allLookupsSucceeded = true;

    DemoTable(PrintStream out) {
        this.out = out;
    }

    void printHeader() {
        out.printf(
                HEADER_FORMAT,
                "PHASE",
                "REQUEST",
                "SENT",
                "ANSWERED",
                "REFUSED",
                "FAILED",
                "P50_MS",
                "P99_MS",
                "RUN IN zone-b");
    }

    void printRows(Phase phase, long startedInZone) {
        printRow(phase.name(), "lookup", phase.lookups(), "");
        printRow(phase.name(), "order", phase.orders(), Long.toString(startedInZone));
        allLookupsSucceeded &= phase.lookups().sent() == phase.lookups().succeeded();
    }

    void printCheck(String claim, boolean holds) {
        out.println((holds ? "yes  " : "NO   ") + claim);
    }

    boolean allLookupsSucceeded() {
        return allLookupsSucceeded;
    }

    private void printRow(String phaseName, String requestKind, PhaseCounts counts, String startedInZone) {
        out.printf(
                ROW_FORMAT,
                phaseName,
                requestKind,
                counts.sent(),
                counts.succeeded(),
                counts.refused(),
                counts.failed(),
                counts.medianMillis(),
                counts.p99Millis(),
                startedInZone);
    }
}
