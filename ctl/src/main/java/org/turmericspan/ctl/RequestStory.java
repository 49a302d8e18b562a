package org.turmericspan.ctl;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What log lines tell of one request: its own lines, and the changes of belief around it. A request is handled by one
 * node, so its own lines need no common clock. Lines of other nodes are ordered by their own clocks.
 */
final class RequestStory {
    /** Time before and after the request within which changes of belief may have decided it. */
    private static final long AROUND_MILLIS = 3_000;

    private final List<LogLine> own = new ArrayList<>();
    private final List<LogLine> beliefs = new ArrayList<>();

    private RequestStory() {}

    static RequestStory of(String request, List<LogLine> lines) {
        RequestStory story = new RequestStory();
        lines.stream().filter(line -> line.isOfRequest(request)).forEach(story.own::add);
        if (!story.own.isEmpty()) {
            story.addBeliefs(lines);
        }
        return story;
    }

    private void addBeliefs(List<LogLine> lines) {
        long fromMillis = own.get(0).wallMillis() - AROUND_MILLIS;
        long toMillis = own.get(own.size() - 1).wallMillis() + AROUND_MILLIS;
        String node = own.get(0).node();
        Set<String> upstreams = new HashSet<>();
        own.forEach(line -> line.upstream().ifPresent(upstreams::add));
        lines.stream()
                .filter(LogLine::isBelief)
                .filter(line -> line.wallMillis() >= fromMillis && line.wallMillis() <= toMillis)
                .filter(line -> line.upstream()
                        .map(upstreams::contains)
                        .orElse(line.node().equals(node)))
                .sorted((one, other) -> Long.compare(one.wallMillis(), other.wallMillis()))
                .forEach(beliefs::add);
    }

    boolean isKnown() {
        return !own.isEmpty();
    }

    /** Writes the story, times in milliseconds from the request's first line. */
    List<String> text() {
        long startMillis = own.get(0).wallMillis();
        List<String> text = new ArrayList<>();
        text.add("request on " + own.get(0).node() + ", first line at " + startMillis);
        own.forEach(line -> text.add(describe(line, startMillis)));
        if (!beliefs.isEmpty()) {
            text.add("changes of belief around it, each on its node's clock");
            beliefs.forEach(line -> text.add(describe(line, startMillis) + " node=" + line.node()));
        }
        return text;
    }

    private static String describe(LogLine line, long startMillis) {
        return String.format(
                "%+7d ms  %s: %s%s", line.wallMillis() - startMillis, line.part(), line.event(), line.inputs());
    }
}
