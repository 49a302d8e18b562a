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
    private static final int MAX_SHOWN_LENGTH = 80;

    private final ObjectSource object;
    private final FaultCollector faults;
    private final Map<String, FieldDescription> known = new LinkedHashMap<>();

    FieldReader(ObjectSource object, FaultCollector faults) {
        this.object = object;
        this.faults = faults;
        describe(KIND_FIELD, "text", "required");
    }

    String kind() {
        return text(KIND_FIELD);
    }

    String title() {
        return shorten(kind() + " " + text(NAME_FIELD));
    }

    /** Returns every field asked for so far, in the order of asking. */
    List<FieldDescription> descriptions() {
        return List.copyOf(known.values());
    }

    <T> T name(Function<String, T> parse) {
        return required(NAME_FIELD, parse);
    }

    /** Reads a text field that must be there; on a fault the value is null and the fault is recorded. */
    <T> T required(String field, Function<String, T> parse) {
        describe(field, "text", "required");
        JsonNode value = object.node().get(field);
        if (value == null) {
            fault(field, "is missing");
            return null;
        }
        return parse(field, value, parse);
    }

    <T> T optional(String field, T fallback, Function<String, T> parse) {
        describe(field, "text", "optional");
        JsonNode value = object.node().get(field);
        return value == null ? fallback : parse(field, value, parse);
    }

    boolean flag(String field, boolean fallback) {
        describe(field, "true or false", Boolean.toString(fallback));
        JsonNode value = object.node().get(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isBoolean()) {
            fault(field, "takes true or false, not " + shorten(value.toString()));
            return fallback;
        }
        return value.booleanValue();
    }

    int number(String field, int fallback, int least, int most) {
        describe(field, least + " to " + most, Integer.toString(fallback));
        JsonNode value = object.node().get(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < least
                || value.intValue() > most) {
            fault(field, "takes a whole number from " + least + " to " + most + ", not " + shorten(value.toString()));
            return fallback;
        }
        return value.intValue();
    }

    Duration millis(String field, int fallback, int least, int most) {
        return Duration.ofMillis(number(field, fallback, least, most));
    }

    /** Records a fault for every field that was never asked for. */
    void rejectUnknownFields() {
        Iterator<String> names = object.node().fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!known.containsKey(name)) {
                fault(shorten(name), "is not a field of " + kind());
            }
        }
    }

    void fault(String field, String message) {
        faults.add(new Fault(object.source(), title(), field, message));
    }

    private void describe(String field, String allowed, String presence) {
        known.putIfAbsent(field, new FieldDescription(field, allowed, presence));
    }

    private String text(String field) {
        JsonNode value = object.node().get(field);
        return value != null && value.isTextual() ? value.textValue() : "";
    }

    private <T> T parse(String field, JsonNode value, Function<String, T> parse) {
        if (!value.isTextual()) {
            fault(field, "takes text, not " + shorten(value.toString()));
            return null;
        }
        try {
            return parse.apply(value.textValue());
        } catch (IllegalArgumentException e) {
            fault(field, e.getMessage());
            return null;
        }
    }

    private static String shorten(String text) {
        return text.length() <= MAX_SHOWN_LENGTH ? text : text.substring(0, MAX_SHOWN_LENGTH) + "...";
    }
}
