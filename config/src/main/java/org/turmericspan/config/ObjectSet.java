package org.turmericspan.config;

import java.util.List;

/**
 * Parsed objects that have not been validated, with the faults found while parsing them.
 *
 * @param version number of the document, or 0 when the objects come from files
 * @param objects objects in the order in which they were read
 * @param faults a fault for each source that could not be read
 */
public record ObjectSet(long version, List<ObjectSource> objects, List<Fault> faults) {
    /** Copies the lists. */
    public ObjectSet {
        objects = List.copyOf(objects);
        faults = List.copyOf(faults);
    }
}
