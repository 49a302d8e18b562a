package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Writes the document to publish. The same objects and version always give the same bytes. */
public final class Bundle {
    private static final List<String> LEADING_FIELDS = List.of("kind", "name");
    private static final Comparator<JsonNode> BY_KIND_AND_NAME = Comparator.comparing(
                    (JsonNode node) -> node.path("kind").asText())
            .thenComparing(node -> node.path("name").asText());

    private Bundle() {}

    /**
     * Writes a document.
     *
     * @param set objects that have been validated
     * @param version number of the document, from 1
     * @return JSON with one object per line, ordered by kind and name
     */
    public static String write(ObjectSet set, long version) {
        return set.objects().stream()
                .map(ObjectSource::node)
                .sorted(BY_KIND_AND_NAME)
                .map(node -> withOrderedFields(node).toString())
                .collect(Collectors.joining(",\n", "{\"version\": " + version + ", \"objects\": [\n", "\n]}\n"));
    }

    private static ObjectNode withOrderedFields(JsonNode node) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        LEADING_FIELDS.forEach(field -> result.set(field, node.get(field)));
        TreeMap<String, JsonNode> otherFields = new TreeMap<>();
        node.fields().forEachRemaining(field -> otherFields.put(field.getKey(), field.getValue()));
        LEADING_FIELDS.forEach(otherFields::remove);
        otherFields.forEach(result::set);
        return result;
    }
}
