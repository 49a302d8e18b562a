package org.turmericspan.config;

import java.util.List;

/**
 * Objects as they were read, with the faults found while reading them.
 *
 * @param version number of the document, or 0 when the objects come from files
 * @param objects the objects in the order of reading
 * @param faults what could not be read
 */
public record ObjectSet(long version, List<ObjectSource> objects, List<Fault> faults) {
    /** Copies the lists. */
    public ObjectSet {
        objects = List.copyOf(objects);
        faults = List.copyOf(faults);
    }
}
