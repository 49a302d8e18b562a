package org.turmericspan.balancing;

/**
 * What an upstream showed of itself at one moment.
 *
 * @param atNanos monotonic time of the observation
 * @param running requests running
 * @param waiting requests waiting
 * @param slowPercent how long work takes now, 100 as usual
 * @param coldForNanos how long it stays cold, 0 when warm
 * @param healthy whether its health check was good
 */
public record Observation(
        long atNanos, int running, int waiting, int slowPercent, long coldForNanos, boolean healthy) {}
