package org.turmericspan.node;

import java.util.function.Supplier;
import org.turmericspan.front.StateSection;

/**
 * A state section built from a supplier.
 *
 * @param name field name of the section in the state dump
 * @param source returns the current state, to be encoded as JSON
 */
record NamedSection(String name, Supplier<Object> source) implements StateSection {
    static StateSection of(String name, Supplier<Object> source) {
        return new NamedSection(name, source);
    }

    @Override
    public Object read() {
        return source.get();
    }
}
