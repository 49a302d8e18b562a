package org.turmericspan.ids;

/** Source of monotonic time for durations and deadlines. Changes of the wall clock do not affect it. */
@FunctionalInterface
public interface MonotonicClock {
    /**
     * Returns the current monotonic time.
     *
     * @return nanoseconds since an arbitrary origin that is fixed while the process runs
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
