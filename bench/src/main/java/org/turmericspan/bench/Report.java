package org.turmericspan.bench;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.bench.load.Timeline;

/** Measured values of a scenario by policy, with the bounds that it checked. */
public final class Report {
    private final Map<String, Measures> policies = new LinkedHashMap<>();
    private final Map<String, Timeline> timelines = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Bound> bounds = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    /**
     * Returns the measures of a policy and creates them at the first call.
     *
     * @param policy name of the policy
     * @return measures to add to
     */
    public Measures of(String policy) {
        return policies.computeIfAbsent(policy, name -> new Measures());
    }

    /**
     * Adds a timeline to be plotted.
     *
     * @param policy name of the series
     * @param timeline latencies over time
     */
    public void addTimeline(String policy, Timeline timeline) {
        timelines.put(policy, timeline);
    }

    /**
     * Adds an event to be marked in the plot.
     *
     * @param seconds time from the start of the stream
     * @param text what happened
     */
    public void addEvent(double seconds, String text) {
        events.add(new Event(seconds, text));
    }

    /**
     * Adds a checked bound.
     *
     * @param bound the bound
     */
    public void addBound(Bound bound) {
        bounds.add(bound);
    }

    /**
     * Adds a note on how the values were measured.
     *
     * @param note one sentence
     */
    public void addNote(String note) {
        notes.add(note);
    }

    Map<String, Measures> policies() {
        return policies;
    }

    Map<String, Timeline> timelines() {
        return timelines;
    }

    List<Event> events() {
        return events;
    }

    List<Bound> bounds() {
        return bounds;
    }

    List<String> notes() {
        return notes;
    }

    boolean allBoundsMet() {
        return bounds.stream().allMatch(Bound::isMet);
    }

    /**
     * An event marked in the plot.
     *
     * @param seconds time from the start of the stream
     * @param text what happened
     */
    record Event(double seconds, String text) {}
}
