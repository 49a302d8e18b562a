package org.turmericspan.ids;

import java.util.random.RandomGenerator;

/**
 * Identifies one incarnation of a process by a random number drawn at each start, so that a restarted process is not
 * mistaken for its predecessor.
 *
 * @param value any 64-bit number
 */
public record Incarnation(long value) {
    private static final int RADIX = 16;

    /**
     * Draws the identifier of a new incarnation.
     *
     * @param random source of randomness
     * @return a new incarnation
     */
    public static Incarnation draw(RandomGenerator random) {
        return new Incarnation(random.nextLong());
    }

    /**
     * Parses the text form.
     *
     * @param text hexadecimal digits as {@link #toString()} writes them
     * @return the incarnation
     * @throws IllegalArgumentException when the text is not 1 to 16 hexadecimal digits
     */
    public static Incarnation parse(String text) {
        if (text.isEmpty() || text.length() > RADIX) {
            throw new IllegalArgumentException("Incarnation takes 1 to 16 hexadecimal digits");
        }
        return new Incarnation(Long.parseUnsignedLong(text, RADIX));
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
