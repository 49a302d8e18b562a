package org.turmericspan.balancing;

/**
 * Load that an upstream states in its answers.
 *
 * @param running requests running
 * @param waiting requests waiting
 * @param slowPercent how long work takes now, 100 as usual
 */
public record LoadFigures(int running, int waiting, int slowPercent) {
    /** Figures of an upstream that states none. */
    public static final LoadFigures USUAL = new LoadFigures(0, 0, 100);
}
