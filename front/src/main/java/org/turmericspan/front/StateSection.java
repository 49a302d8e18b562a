package org.turmericspan.front;

/** One part of the state dump. */
public interface StateSection {
    /**
     * Returns the field name of the part.
     *
     * @return a name in lower case with underscores
     */
    String name();

    /**
     * Reads the state now, without callers' data or tokens.
     *
     * @return a record that can be written as JSON
     */
    Object read();
}
