package org.turmericspan.ctl;

import java.util.List;

/**
 * How one object differs between two sets.
 *
 * @param object kind and name
 * @param change what happened to it
 * @param fields its changed fields, empty unless it was changed
 */
record ObjectChange(String object, Type change, List<FieldChange> fields) {
    ObjectChange {
        fields = List.copyOf(fields);
    }

    /** What happened to an object. */
    enum Type {
        /** Only the second set holds it. */
        ADDED,
        /** Only the first set holds it. */
        REMOVED,
        /** Both hold it with different fields. */
        CHANGED
    }

    /**
     * One changed field.
     *
     * @param field its name
     * @param before value in the first set as JSON, or {@code default}
     * @param after value in the second set as JSON, or {@code default}
     */
    record FieldChange(String field, String before, String after) {}
}
