package org.turmericspan.events;

/** Log of decisions and changes of belief, one structured line each. Logging never blocks and never fails. */
@FunctionalInterface
public interface EventLog {
    /**
     * Writes a line, or counts it as dropped when too many were written lately.
     *
     * @param event the line
     */
    void write(Event event);

    /**
     * Returns a log that drops every line.
     *
     * @return a log for tests
     */
    static EventLog none() {
        return event -> {};
    }
}
