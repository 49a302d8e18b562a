package org.turmericspan.caps;

/** Runs actions later. */
@FunctionalInterface
public interface CapTimer {
    /**
     * Runs an action once.
     *
     * @param delayNanos time until then
     * @param action the action
     */
    void schedule(long delayNanos, Runnable action);
}
