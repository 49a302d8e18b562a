package org.turmericspan.ids;

/**
 * Numbered interval of a node incarnation. Run tokens that are issued in the same epoch expire together.
 *
 * @param number counted from 0 at process start
 */
public record Epoch(long number) implements Comparable<Epoch> {
    /** Checks the range. */
    public Epoch {
        if (number < 0) {
            throw new IllegalArgumentException("Epoch takes a number from 0");
        }
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
