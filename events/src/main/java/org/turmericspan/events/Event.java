package org.turmericspan.events;

import java.util.ArrayList;
import java.util.List;

/** One log line: the part that speaks, what happened, and its inputs and outcome as named fields. */
public final class Event {
    private final Severity severity;
    private final String part;
    private final String message;
    private final List<Field> fields = new ArrayList<>();

    private Event(Severity severity, String part, String message) {
        this.severity = severity;
        this.part = part;
        this.message = message;
    }

    /**
     * Begins a line about ordinary work, the first to be dropped.
     *
     * @param part prefix of the part that speaks
     * @param message short sentence
     * @return the line
     */
    public static Event routine(String part, String message) {
        return new Event(Severity.ROUTINE, part, message);
    }

    /**
     * Begins a line about a change of belief or of state.
     *
     * @param part prefix of the part that speaks
     * @param message short sentence
     * @return the line
     */
    public static Event notice(String part, String message) {
        return new Event(Severity.NOTICE, part, message);
    }

    /**
     * Begins a line about a failure.
     *
     * @param part prefix of the part that speaks
     * @param message short sentence
     * @return the line
     */
    public static Event failure(String part, String message) {
        return new Event(Severity.FAILURE, part, message);
    }

    /**
     * Adds a field.
     *
     * @param name name with its unit
     * @param value a number, a truth value, or something whose text is written later and must not change until then
     * @return this line
     */
    public Event with(String name, Object value) {
        fields.add(new Field(name, value));
        return this;
    }

    /**
     * Returns how important the line is.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }

    String part() {
        return part;
    }

    String message() {
        return message;
    }

    List<Field> fields() {
        return fields;
    }

    /** Importance of a line. Lines of lower importance are dropped first. */
    public enum Severity {
        /** Ordinary work. */
        ROUTINE,
        /** A change of belief or of state. */
        NOTICE,
        /** A failure. */
        FAILURE
    }

    /** One named value. */
    record Field(String name, Object value) {}
}
