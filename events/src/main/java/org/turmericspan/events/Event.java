package org.turmericspan.events;

import java.util.ArrayList;
import java.util.List;

/** Structured log event: the component that logs it, what happened, and its inputs and outcome as named fields. */
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
     * Creates an event about normal operation. Such events have the lowest rate limit.
     *
     * @param part name of the component that logs the event
     * @param message short sentence that says what happened
     * @return an event without fields
     */
    public static Event routine(String part, String message) {
        return new Event(Severity.ROUTINE, part, message);
    }

    /**
     * Creates an event about a change of state or of an observed state.
     *
     * @param part name of the component that logs the event
     * @param message short sentence that says what happened
     * @return an event without fields
     */
    public static Event notice(String part, String message) {
        return new Event(Severity.NOTICE, part, message);
    }

    /**
     * Creates an event about a failure.
     *
     * @param part name of the component that logs the event
     * @param message short sentence that says what happened
     * @return an event without fields
     */
    public static Event failure(String part, String message) {
        return new Event(Severity.FAILURE, part, message);
    }

    /**
     * Adds a field.
     *
     * @param name name, with a unit suffix if the value has a unit
     * @param value an {@code Integer}, {@code Long} or {@code Boolean}, or an object that is written as its string; the
     *     string is built later on another thread, so the object must not change
     * @return this event
     */
    public Event with(String name, Object value) {
        fields.add(new Field(name, value));
        return this;
    }

    /**
     * Returns the severity, which selects the rate limit.
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

    /** Severity of an event. Each severity has its own rate limit, which is lowest for {@link #ROUTINE}. */
    public enum Severity {
        /** Normal operation. */
        ROUTINE,
        /** A change of state or of an observed state. */
        NOTICE,
        /** A failure. */
        FAILURE
    }

    /** A named value of an event. */
    record Field(String name, Object value) {}
}
