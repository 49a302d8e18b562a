package org.turmericspan.bench;

/**
 * A bound that a scenario checks.
 *
 * @param text what must hold
 * @param limit the bound
 * @param actual what was measured
 * @param isMet whether it holds
 */
public record Bound(String text, double limit, double actual, boolean isMet) {
    /**
     * Checks that a value is at or under a limit.
     *
     * @param text what must hold
     * @param limit the bound
     * @param actual what was measured
     * @return the checked bound
     */
    public static Bound atMost(String text, double limit, double actual) {
        return new Bound(text, limit, actual, actual <= limit);
    }

    /**
     * Checks that a value is at or above a limit.
     *
     * @param text what must hold
     * @param limit the bound
     * @param actual what was measured
     * @return the checked bound
     */
    public static Bound atLeast(String text, double limit, double actual) {
        return new Bound(text, limit, actual, actual >= limit);
    }
}
