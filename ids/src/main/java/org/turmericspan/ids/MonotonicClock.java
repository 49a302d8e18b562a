package org.turmericspan.ids;

/** Source of monotonic time, which no clock step moves. Spans and deadlines are measured with it. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the current monotonic time.
     *
     * @return nanoseconds since an arbitrary origin fixed for the life of the process
     */
    long nowNanos();

    /**
     * Returns the clock of the running process.
     *
     * @return a clock backed by {@link System#nanoTime()}
     */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
