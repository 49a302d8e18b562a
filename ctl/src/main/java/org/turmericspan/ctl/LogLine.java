package org.turmericspan.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * One structured log line of a node.
 *
 * @param wallMillis Unix time in milliseconds by the clock of the node, which may differ from the clocks of other nodes
 * @param node name of the node
 * @param part part of the node that wrote the line
 * @param event sentence that says what happened
 * @param fields the whole JSON object, including the header fields
 */
record LogLine(long wallMillis, String node, String part, String event, JsonNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> HEADER_FIELDS = Set.of("t", "node", "part", "event");

    /** Parses a line, ignoring text before the first brace, such as a timestamp added by a log collector. */
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
            // Other programs, such as the JVM, may write to the same file; their lines are ignored.
            return Optional.empty();
        }
    }

    boolean belongsTo(String request) {
        return request.equals(fields.path("request").asText());
    }

    Optional<String> upstream() {
        return Optional.ofNullable(fields.path("upstream").textValue());
    }

    /** Returns whether the line reports a change of state rather than an event of a request. */
    boolean isStateChange() {
        return !fields.has("request");
    }

    /** Formats all fields but those of the header as {@code name=value}, sorted by name. */
    String formatFields() {
        TreeMap<String, String> texts = new TreeMap<>();
        fields.properties().stream()
                .filter(entry -> !HEADER_FIELDS.contains(entry.getKey()))
                .forEach(entry -> texts.put(entry.getKey(), entry.getValue().asText()));
        StringBuilder text = new StringBuilder();
        texts.forEach((name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
