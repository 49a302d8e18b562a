package org.turmericspan.bench;

/**
 * An upper or lower bound that a scenario checks, with the measured value.
 *
 * @param text the measured quantity, as it is printed
 * @param limit the bound
 * @param actual the measured value
 * @param isMet whether the measured value is within the bound
 */
public record Bound(String text, double limit, double actual, boolean isMet) {
    /**
     * Checks that a value is at or under a limit.
     *
     * @param text the measured quantity, as it is printed
     * @param limit the bound
     * @param actual the measured value
     * @return the checked bound
     */
    public static Bound atMost(String text, double limit, double actual) {
        return new Bound(text, limit, actual, actual <= limit);
    }

    /**
     * Checks that a value is at or above a limit.
     *
     * @param text the measured quantity, as it is printed
     * @param limit the bound
     * @param actual the measured value
     * @return the checked bound
     */
    public static Bound atLeast(String text, double limit, double actual) {
        return new Bound(text, limit, actual, actual >= limit);
    }
}
