package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Writes the single document to publish. The same objects and version always give the same bytes. */
public final class Bundle {
    private static final List<String> FIRST_FIELDS = List.of("kind", "name");
    private static final Comparator<JsonNode> ORDER = Comparator.comparing(
                    (JsonNode node) -> node.path("kind").asText())
            .thenComparing(node -> node.path("name").asText());

    private Bundle() {}

    /**
     * Writes a document.
     *
     * @param set objects that were checked
     * @param version number of the document, from 1
     * @return JSON, one object a line, ordered by kind and name
     */
    public static String write(ObjectSet set, long version) {
        return set.objects().stream()
                .map(ObjectSource::node)
                .sorted(ORDER)
                .map(node -> ordered(node).toString())
                .collect(Collectors.joining(",\n", "{\"version\": " + version + ", \"objects\": [\n", "\n]}\n"));
    }

    private static ObjectNode ordered(JsonNode node) {
        ObjectNode result = JsonNodeFactory.instance.objectNode();
        FIRST_FIELDS.forEach(field -> result.set(field, node.get(field)));
        TreeMap<String, JsonNode> rest = new TreeMap<>();
        node.fields().forEachRemaining(field -> rest.put(field.getKey(), field.getValue()));
        FIRST_FIELDS.forEach(rest::remove);
        rest.forEach(result::set);
        return result;
    }
}
