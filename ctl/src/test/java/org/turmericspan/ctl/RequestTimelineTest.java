package org.turmericspan.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests that the log lines of a request and the state changes around it, also of other nodes, are put into one
 * timeline, and that lines of other programs are ignored.
 */
class RequestTimelineTest {
    private static final String CHOSEN = "  14.2 front-1 {\"t\":1000,\"node\":\"front-1\",\"part\":\"forward\","
            + "\"event\":\"Upstream chosen.\",\"request\":\"r1\",\"upstream\":\"u-1\",\"load\":2}";
    private static final String REFUSED = "{\"t\":1040,\"node\":\"front-1\",\"part\":\"forward\","
            + "\"event\":\"Request refused.\",\"request\":\"r1\",\"code\":1201}";
    private static final String OTHER = "{\"t\":1010,\"node\":\"front-1\",\"part\":\"forward\","
            + "\"event\":\"Request refused.\",\"request\":\"r2\",\"code\":1101}";

    private static String probe(long wallMillis, String node, String upstream) {
        return "{\"t\":" + wallMillis + ",\"node\":\"" + node
                + "\",\"part\":\"probe\",\"event\":\"Upstream does not answer.\",\"upstream\":\"" + upstream + "\"}";
    }

    private static RequestTimeline timeline(String... texts) {
        List<LogLine> lines = List.of(texts).stream()
                .map(LogLine::parse)
                .flatMap(Optional::stream)
                .toList();
        return RequestTimeline.of("r1", lines);
    }

    @Test
    void linesOfRequestAreListedInOrder() {
        assertThat(timeline(CHOSEN, OTHER, REFUSED).text())
                .containsExactly(
                        "request on front-1, first line at 1000",
                        "     +0 ms  forward: Upstream chosen. load=2 request=r1 upstream=u-1",
                        "    +40 ms  forward: Request refused. code=1201 request=r1");
    }

    @Test
    void stateChangesOfOtherNodesAreLimitedToTriedUpstreams() {
        assertThat(timeline(CHOSEN, REFUSED, probe(1020, "front-2", "u-1"), probe(1021, "front-2", "u-9"))
                        .text())
                .anyMatch(line -> line.contains("u-1") && line.contains("node=front-2"))
                .noneMatch(line -> line.contains("u-9"));
    }

    @Test
    void stateChangesLongBeforeRequestAreOmitted() {
        assertThat(timeline(probe(-9_000, "front-2", "u-1"), CHOSEN).text()).hasSize(2);
    }

    @Test
    void unknownRequestIsNotFound() {
        assertThat(timeline(OTHER).isFound()).isFalse();
    }

    @Test
    void linesOfOtherProgramsAreIgnored() {
        assertThat(LogLine.parse("OpenJDK warning: {x")).isEmpty();
        assertThat(LogLine.parse("plain text")).isEmpty();
    }
}
