package org.turmericspan.bench.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Measures the live heap of a process after a full garbage collection, with the JDK's {@code jcmd}. */
final class LiveHeap {
    private static final String TOTAL = "Total";

    private LiveHeap() {}

    /** Triggers a garbage collection in a process and returns the total size of its live objects. */
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
                .orElseThrow(() -> new IllegalStateException("jcmd printed no class histogram: " + histogram));
    }
}
