package org.turmericspan.bench.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;

/** Reads the processor time that the nodes of a fleet have used, from {@code /proc}. */
final class ProcessorTime {
    private static final Duration TICK = Duration.ofMillis(10);
    private static final int USER_TICKS_FIELD = 11;

    private ProcessorTime() {}

    /** Sums the processor time of all nodes since their start. */
    static Duration of(Fleet fleet) {
        long ticks = fleet.nodes().stream().mapToLong(ProcessorTime::ticks).sum();
        return TICK.multipliedBy(ticks);
    }

    private static long ticks(FleetNode node) {
        try {
            String stat = Files.readString(
                    Path.of("/proc", Long.toString(node.process().pid()), "stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[USER_TICKS_FIELD + 1]);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
