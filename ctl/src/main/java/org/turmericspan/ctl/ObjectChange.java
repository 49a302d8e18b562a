package org.turmericspan.ctl;

import java.util.List;

/**
 * Difference of one object between two sets. The components are the keys of the JSON output.
 *
 * @param object kind and name of the object
 * @param change whether the object was added, removed or changed
 * @param fields the changed fields; empty for an added or removed object
 */
record ObjectChange(String object, Type change, List<FieldChange> fields) {
    ObjectChange {
        fields = List.copyOf(fields);
    }

    /** Kind of a difference; its name is part of the output. */
    enum Type {
        /** Only the second set contains the object. */
        ADDED,
        /** Only the first set contains the object. */
        REMOVED,
        /** Both sets contain the object, with different fields. */
        CHANGED
    }

    /**
     * Difference of one field.
     *
     * @param field name of the field
     * @param before value in the first set as JSON, or {@code default} if it is not set
     * @param after value in the second set as JSON, or {@code default} if it is not set
     */
    record FieldChange(String field, String before, String after) {}
}
