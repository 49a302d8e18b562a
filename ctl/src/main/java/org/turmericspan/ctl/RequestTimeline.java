package org.turmericspan.ctl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Timeline of one request: the log lines of the request and the state changes around it. One node handles a request, so
 * the lines of the request need no common clock. State changes are ordered by the clocks of the nodes that logged them.
 */
final class RequestTimeline {
    /** Time before and after the request within which a state change may have influenced it. */
    private static final long CONTEXT_MILLIS = 3_000;

    private final List<LogLine> requestLines = new ArrayList<>();
    private final List<LogLine> stateChanges = new ArrayList<>();

    private RequestTimeline() {}

    static RequestTimeline of(String request, List<LogLine> lines) {
        RequestTimeline timeline = new RequestTimeline();
        lines.stream().filter(line -> line.belongsTo(request)).forEach(timeline.requestLines::add);
        if (!timeline.requestLines.isEmpty()) {
            timeline.addStateChanges(lines);
        }
        return timeline;
    }

    private void addStateChanges(List<LogLine> lines) {
        long fromMillis = requestLines.get(0).wallMillis() - CONTEXT_MILLIS;
        long toMillis = requestLines.get(requestLines.size() - 1).wallMillis() + CONTEXT_MILLIS;
        String node = requestLines.get(0).node();
        Set<String> upstreams = new HashSet<>();
        requestLines.forEach(line -> line.upstream().ifPresent(upstreams::add));
        lines.stream()
                .filter(LogLine::isStateChange)
                .filter(line -> line.wallMillis() >= fromMillis && line.wallMillis() <= toMillis)
                .filter(line -> line.upstream()
                        .map(upstreams::contains)
                        .orElse(line.node().equals(node)))
                .sorted((one, other) -> Long.compare(one.wallMillis(), other.wallMillis()))
                .forEach(stateChanges::add);
    }

    boolean isFound() {
        return !requestLines.isEmpty();
    }

    /**
     * Formats the timeline, with times in milliseconds from the first line of the request.
     *
     * <p>The output calls state changes "changes of belief".
     */
    List<String> text() {
        long startMillis = requestLines.get(0).wallMillis();
        List<String> text = new ArrayList<>();
        text.add("request on " + requestLines.get(0).node() + ", first line at " + startMillis);
        requestLines.forEach(line -> text.add(describe(line, startMillis)));
        if (!stateChanges.isEmpty()) {
            text.add("changes of belief around it, each on its node's clock");
            stateChanges.forEach(line -> text.add(describe(line, startMillis) + " node=" + line.node()));
        }
        return text;
    }

    private static String describe(LogLine line, long startMillis) {
        return String.format(
                "%+7d ms  %s: %s%s", line.wallMillis() - startMillis, line.part(), line.event(), line.formatFields());
    }
}
