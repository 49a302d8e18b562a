package org.turmericspan.ids;

/**
 * Period of a node's life during which the run tokens it gave out stay valid.
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
