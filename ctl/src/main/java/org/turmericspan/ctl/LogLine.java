package org.turmericspan.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * One structured line that a node wrote.
 *
 * @param wallMillis Unix time on the node's own clock, which may differ from other nodes'
 * @param node the node
 * @param part part of the node that wrote it
 * @param event what happened
 * @param fields the inputs and the outcome
 */
record LogLine(long wallMillis, String node, String part, String event, JsonNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> HEAD = Set.of("t", "node", "part", "event");

    /** Parses a line; what stands before the first brace, such as a collector's own time, is passed over. */
    static Optional<LogLine> parse(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode json = MAPPER.readTree(text.substring(start));
            return json.hasNonNull("event")
                    ? Optional.of(new LogLine(
                            json.path("t").asLong(),
                            json.path("node").asText(),
                            json.path("part").asText(),
                            json.path("event").asText(),
                            json))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            // Other programs may write to the same file; their lines are none of this project's.
            return Optional.empty();
        }
    }

    boolean isOfRequest(String request) {
        return request.equals(fields.path("request").asText());
    }

    Optional<String> upstream() {
        return Optional.ofNullable(fields.path("upstream").textValue());
    }

    /** Tells whether the line speaks of a change of belief rather than of a request. */
    boolean isBelief() {
        return !fields.has("request");
    }

    /** Writes the inputs and the outcome as one text. */
    String inputs() {
        TreeMap<String, String> texts = new TreeMap<>();
        fields.properties().stream()
                .filter(entry -> !HEAD.contains(entry.getKey()))
                .forEach(entry -> texts.put(entry.getKey(), entry.getValue().asText()));
        StringBuilder text = new StringBuilder();
        texts.forEach((name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
