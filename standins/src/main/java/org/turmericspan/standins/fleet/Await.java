package org.turmericspan.standins.fleet;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a state with a generous deadline. */
public final class Await {
    private static final Duration PAUSE = Duration.ofMillis(20);

    private Await() {}

    /**
     * Waits until a condition holds; an exception counts as not yet.
     *
     * @param what names the condition in the failure
     * @param limit how long to wait
     * @param condition asked again and again
     */
    public static void until(String what, Duration limit, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("Not within " + limit + ": " + what);
            }
            LockSupport.parkNanos(PAUSE.toNanos());
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
