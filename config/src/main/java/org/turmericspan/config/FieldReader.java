package org.turmericspan.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Reads the fields of one object and collects every fault instead of stopping at the first. */
final class FieldReader {
    private static final String KIND_FIELD = "kind";
    private static final String NAME_FIELD = "name";

    private final ObjectSource object;
    private final List<Fault> faults;
    private final Set<String> known = new HashSet<>(Set.of(KIND_FIELD, NAME_FIELD));

    FieldReader(ObjectSource object, List<Fault> faults) {
        this.object = object;
        this.faults = faults;
    }

    String kind() {
        return object.node().path(KIND_FIELD).asText("");
    }

    String title() {
        return kind() + " " + object.node().path(NAME_FIELD).asText("");
    }

    <T> T name(Function<String, T> parse) {
        return required(NAME_FIELD, parse);
    }

    /** Reads a text field that must be there; on a fault the value is null and the fault is recorded. */
    <T> T required(String field, Function<String, T> parse) {
        JsonNode value = value(field);
        if (value == null) {
            fault(field, "is missing");
            return null;
        }
        return parse(field, value, parse);
    }

    <T> T optional(String field, T fallback, Function<String, T> parse) {
        JsonNode value = value(field);
        return value == null ? fallback : parse(field, value, parse);
    }

    boolean flag(String field, boolean fallback) {
        JsonNode value = value(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isBoolean()) {
            fault(field, "takes true or false, not " + value);
            return fallback;
        }
        return value.booleanValue();
    }

    int number(String field, int fallback, int least, int most) {
        JsonNode value = value(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isIntegralNumber() || value.longValue() < least || value.longValue() > most) {
            fault(field, "takes a whole number from " + least + " to " + most + ", not " + value);
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
            if (!known.contains(name)) {
                fault(name, "is not a field of " + kind());
            }
        }
    }

    void fault(String field, String message) {
        faults.add(new Fault(object.source(), title(), field, message));
    }

    private JsonNode value(String field) {
        known.add(field);
        return object.node().get(field);
    }

    private <T> T parse(String field, JsonNode value, Function<String, T> parse) {
        try {
            return parse.apply(value.asText());
        } catch (IllegalArgumentException e) {
            fault(field, e.getMessage());
            return null;
        }
    }
}
