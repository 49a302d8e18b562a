package org.turmericspan.standins.fleet;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls a condition until it holds or a time limit passes. */
public final class Await {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private Await() {}

    /**
     * Waits until a condition holds; an exception from it counts as not yet met.
     *
     * @param what description of the condition for the error message
     * @param limit maximum time to wait
     * @param condition polled until it returns true
     * @throws IllegalStateException when the condition does not hold within the limit
     */
    public static void until(String what, Duration limit, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("Condition not met within " + limit + ": " + what);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }
}
