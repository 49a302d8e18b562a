package org.turmericspan.events;

/** Log of decisions and state changes, one structured line each. Logging never waits for output and never throws. */
@FunctionalInterface
public interface EventLog {
    /**
     * Writes an event, or drops and counts it when a rate or queue limit is exceeded.
     *
     * @param event the event
     */
    void write(Event event);

    /**
     * Returns a log that discards every event.
     *
     * @return a log without output, for tests
     */
    static EventLog none() {
        return event -> {};
    }
}
