package org.turmericspan.balancing;

/**
 * Load that an upstream states in its answers.
 *
 * @param running requests running
 * @param waiting requests waiting
 * @param slowdownPercent how long work takes now, 100 as usual
 */
public record LoadReport(int running, int waiting, int slowdownPercent) {
    /** Figures of an upstream that states none. */
    public static final LoadReport NORMAL = new LoadReport(0, 0, 100);
}
