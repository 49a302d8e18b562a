package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** Reads the fields of one object and collects every fault instead of stopping at the first. */
final class FieldReader {
    private static final String KIND_FIELD = "kind";
    private static final String NAME_FIELD = "name";
    private static final int MAX_QUOTED_LENGTH = 80;

    private final ObjectSource object;
    private final FaultCollector faults;
    private final Map<String, FieldDescription> described = new LinkedHashMap<>();

    FieldReader(ObjectSource object, FaultCollector faults) {
        this.object = object;
        this.faults = faults;
        describe(KIND_FIELD, "text", "required");
    }

    String kind() {
        return textOrEmpty(KIND_FIELD);
    }

    String displayName() {
        return truncate(kind() + " " + textOrEmpty(NAME_FIELD));
    }

    /** Returns a description of every field read so far, in the order of reading. */
    List<FieldDescription> descriptions() {
        return List.copyOf(described.values());
    }

    <T> T name(Function<String, T> parser) {
        return required(NAME_FIELD, parser);
    }

    /** Reads a required text field. If it is missing or invalid, records a fault and returns null. */
    <T> T required(String field, Function<String, T> parser) {
        describe(field, "text", "required");
        JsonNode value = object.node().get(field);
        if (value == null) {
            fault(field, "is missing");
            return null;
        }
        return parse(field, value, parser);
    }

    <T> T optional(String field, T defaultValue, Function<String, T> parser) {
        describe(field, "text", "optional");
        JsonNode value = object.node().get(field);
        return value == null ? defaultValue : parse(field, value, parser);
    }

    boolean flag(String field, boolean defaultValue) {
        describe(field, "true or false", Boolean.toString(defaultValue));
        JsonNode value = object.node().get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            fault(field, "takes true or false, not " + truncate(value.toString()));
            return defaultValue;
        }
        return value.booleanValue();
    }

    int number(String field, int defaultValue, int min, int max) {
        describe(field, min + " to " + max, Integer.toString(defaultValue));
        JsonNode value = object.node().get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
            fault(field, "takes a whole number from " + min + " to " + max + ", not " + truncate(value.toString()));
            return defaultValue;
        }
        return value.intValue();
    }

    Duration millis(String field, int defaultValue, int min, int max) {
        return Duration.ofMillis(number(field, defaultValue, min, max));
    }

    /** Records a fault for every field of the object that no earlier call has read. */
    void rejectUnknownFields() {
        Iterator<String> names = object.node().fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!described.containsKey(name)) {
                fault(truncate(name), "is not a field of " + kind());
            }
        }
    }

    void fault(String field, String message) {
        faults.add(new Fault(object.source(), displayName(), field, message));
    }

    private void describe(String field, String allowed, String presence) {
        described.putIfAbsent(field, new FieldDescription(field, allowed, presence));
    }

    private String textOrEmpty(String field) {
        JsonNode value = object.node().get(field);
        return value != null && value.isTextual() ? value.textValue() : "";
    }

    private <T> T parse(String field, JsonNode value, Function<String, T> parser) {
        if (!value.isTextual()) {
            fault(field, "takes text, not " + truncate(value.toString()));
            return null;
        }
        try {
            return parser.apply(value.textValue());
        } catch (IllegalArgumentException e) {
            fault(field, e.getMessage());
            return null;
        }
    }

    private static String truncate(String text) {
        return text.length() <= MAX_QUOTED_LENGTH ? text : text.substring(0, MAX_QUOTED_LENGTH) + "...";
    }
}
