package org.turmericspan.bench;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

/** Prints a report as a human-readable table. */
final class ReportPrinter {
    private ReportPrinter() {}

    static void print(BenchSettings settings, Report report, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "scenario %s, %d nodes, %d upstreams, %d s, seed %d, preset %s%n",
                settings.scenario(),
                settings.nodes(),
                settings.upstreams(),
                settings.duration().toSeconds(),
                settings.seed(),
                settings.preset().name().toLowerCase(Locale.ROOT));
        report.notes().forEach(note -> out.println("note: " + note));
        printHead(report, out);
        for (Measure measure : Measure.values()) {
            printRow(measure, report.policies(), out);
        }
        for (Bound bound : report.bounds()) {
            out.printf(
                    Locale.ROOT,
                    "%-6s %s: %.2f (bound %.2f)%n",
                    bound.isMet() ? "met" : "MISSED",
                    bound.text(),
                    bound.actual(),
                    bound.limit());
        }
    }

    private static void printHead(Report report, PrintStream out) {
        StringBuilder head = new StringBuilder(String.format(Locale.ROOT, "%-22s", "measure"));
        report.policies().keySet().forEach(policy -> head.append(String.format(Locale.ROOT, "%16s", policy)));
        out.println(head);
    }

    private static void printRow(Measure measure, Map<String, Measures> policies, PrintStream out) {
        if (policies.values().stream()
                .noneMatch(measures -> measures.get(measure).isPresent())) {
            return;
        }
        StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%-22s", measure.field()));
        policies.values()
                .forEach(measures -> row.append(
                        measures.get(measure).isPresent()
                                ? String.format(
                                        Locale.ROOT,
                                        "%16.2f",
                                        measures.get(measure).getAsDouble())
                                : String.format(Locale.ROOT, "%16s", "-")));
        out.println(row);
    }
}
