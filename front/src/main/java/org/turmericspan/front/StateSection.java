package org.turmericspan.front;

/** One section of the state dump. */
public interface StateSection {
    /**
     * Returns the name of the field that holds this section.
     *
     * @return a name in lower case with underscores
     */
    String name();

    /**
     * Reads the current state, without data or run tokens of callers.
     *
     * @return a record that can be written as JSON
     */
    Object read();
}
