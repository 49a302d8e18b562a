package org.turmericspan.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.turmericspan.config.ObjectSet;
import org.turmericspan.config.ObjectSource;

/** Compares two configuration sets object by object and field by field. */
final class SetDifference {
    /** Printed for a field that a set leaves at its default. */
    private static final String DEFAULT = "default";

    private SetDifference() {}

    static List<ObjectChange> between(ObjectSet before, ObjectSet after) {
        Map<String, JsonNode> first = byKindAndName(before);
        Map<String, JsonNode> second = byKindAndName(after);
        TreeSet<String> names = new TreeSet<>(first.keySet());
        names.addAll(second.keySet());
        List<ObjectChange> changes = new ArrayList<>();
        for (String name : names) {
            compare(name, first.get(name), second.get(name), changes);
        }
        return changes;
    }

    private static void compare(String name, JsonNode before, JsonNode after, List<ObjectChange> changes) {
        if (before == null) {
            changes.add(new ObjectChange(name, ObjectChange.Type.ADDED, List.of()));
        } else if (after == null) {
            changes.add(new ObjectChange(name, ObjectChange.Type.REMOVED, List.of()));
        } else if (!before.equals(after)) {
            changes.add(new ObjectChange(name, ObjectChange.Type.CHANGED, changedFields(before, after)));
        }
    }

    private static List<ObjectChange.FieldChange> changedFields(JsonNode before, JsonNode after) {
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        return names.stream()
                .filter(name -> !before.path(name).equals(after.path(name)))
                .map(name -> new ObjectChange.FieldChange(name, toJson(before.get(name)), toJson(after.get(name))))
                .toList();
    }

    private static String toJson(JsonNode value) {
        return value == null ? DEFAULT : value.toString();
    }

    private static Map<String, JsonNode> byKindAndName(ObjectSet set) {
        Map<String, JsonNode> objects = new TreeMap<>();
        for (ObjectSource object : set.objects()) {
            JsonNode node = object.node();
            objects.put(node.path("kind").asText() + " " + node.path("name").asText(), node);
        }
        return objects;
    }
}
