package org.turmericspan.bench.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Measures the live heap of a process after a full collection, with the JDK's own diagnostic command. */
final class LiveHeap {
    private static final String TOTAL = "Total";

    private LiveHeap() {}

    /** Collects the garbage of a process and sums its live objects. */
    static double bytes(long pid) {
        String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        try {
            Process process = new ProcessBuilder(tool, Long.toString(pid), "GC.class_histogram")
                    .redirectErrorStream(true)
                    .start();
            String histogram = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return total(histogram);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double total(String histogram) {
        return histogram
                .lines()
                .filter(line -> line.startsWith(TOTAL))
                .map(line -> line.trim().split("\\s+"))
                .mapToDouble(fields -> Double.parseDouble(fields[2]))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("No histogram: " + histogram));
    }
}
