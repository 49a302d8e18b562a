package org.turmericspan.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.util.concurrent.TimeUnit;

/** Registers gauges of the process: memory, garbage collection, CPU time and threads. */
final class JvmGauges {
    private JvmGauges() {}

    static void register(MetricRegistry metrics) {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        gauge(metrics, "jvm.heap_used_bytes", () -> memory.getHeapMemoryUsage().getUsed());
        gauge(
                metrics,
                "jvm.heap_committed_bytes",
                () -> memory.getHeapMemoryUsage().getCommitted());
        gauge(metrics, "jvm.heap_max_bytes", () -> memory.getHeapMemoryUsage().getMax());
        gauge(
                metrics,
                "jvm.non_heap_used_bytes",
                () -> memory.getNonHeapMemoryUsage().getUsed());
        gauge(metrics, "jvm.threads", ManagementFactory.getThreadMXBean()::getThreadCount);
        gauge(metrics, "jvm.gc_seconds", JvmGauges::collectionSeconds);
        gauge(metrics, "jvm.gc_count", JvmGauges::collectionCount);
        if (ManagementFactory.getOperatingSystemMXBean()
                instanceof com.sun.management.OperatingSystemMXBean operatingSystem) {
            gauge(metrics, "process.cpu_seconds", () -> seconds(operatingSystem.getProcessCpuTime()));
        }
    }

    private static double collectionSeconds() {
        long millis = 0;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            millis += Math.max(0, collector.getCollectionTime());
        }
        return seconds(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static long collectionCount() {
        long count = 0;
        for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
            count += Math.max(0, collector.getCollectionCount());
        }
        return count;
    }

    private static double seconds(long nanos) {
        return nanos / (double) TimeUnit.SECONDS.toNanos(1);
    }

    private static void gauge(MetricRegistry metrics, String name, Gauge<? extends Number> gauge) {
        metrics.registerGauge(name, gauge);
    }
}
