package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Replays arrivals of requests that were sent ahead; all servers are idle, and responses are sent at once. */
class SentAheadReplayTest {
    private static final String FILE = "sent-ahead.txt";
    private static final int END_MILLIS = 3_000;

    /** One line of the file. */
    private record Arrival(int index, long atMillis, String kind, long workMillis, long latestMillis) {}

    /** One connection, its requests at work and the responses that it has sent. */
    private static final class Replay {
        private final RequestPipeline<Arrival> pipeline =
                new RequestPipeline<>(arrival -> arrival.kind().equals("lookup"), arrival -> true);
        private final Map<Arrival, Long> endMillis = new HashMap<>();
        private final Map<Arrival, Long> sentMillis = new LinkedHashMap<>();

        void run(List<Arrival> arrivals) {
            for (long now = 0; now <= END_MILLIS; now++) {
                for (Arrival arrival : arrivals) {
                    if (arrival.atMillis() == now) {
                        pipeline.add(arrival, false);
                    }
                }
                for (Arrival arrival : arrivals) {
                    if (endMillis.getOrDefault(arrival, -1L) == now) {
                        pipeline.answer(arrival);
                    }
                }
                advance(now);
            }
        }

        private void advance(long now) {
            for (boolean moved = true; moved; ) {
                Optional<Arrival> response = pipeline.sendNext();
                response.ifPresent(arrival -> {
                    sentMillis.put(arrival, now);
                    pipeline.sent();
                });
                Optional<Arrival> start = pipeline.startNext();
                start.ifPresent(arrival -> endMillis.put(arrival, now + arrival.workMillis()));
                moved = response.isPresent() || start.isPresent();
            }
        }
    }

    private static Map<String, List<Arrival>> read() throws IOException {
        Map<String, List<Arrival>> connections = new LinkedHashMap<>();
        try (InputStream input = SentAheadReplayTest.class.getResourceAsStream(FILE)) {
            String text = new String(input.readAllBytes(), StandardCharsets.UTF_8);
            int index = 0;
            for (String line : text.split("\n")) {
                if (!line.startsWith("#")) {
                    String[] parts = line.split(" ");
                    connections
                            .computeIfAbsent(parts[1], name -> new ArrayList<>())
                            .add(new Arrival(
                                    index++,
                                    Long.parseLong(parts[0]),
                                    parts[2],
                                    Long.parseLong(parts[3]),
                                    Long.parseLong(parts[4])));
                }
            }
        }
        return connections;
    }

    @Test
    void responsesAreSentInOrderAndNoLaterThanTheFileSays() throws IOException {
        Map<String, List<Arrival>> connections = read();
        assertThat(connections).hasSize(5);
        connections.forEach((name, arrivals) -> {
            Replay replay = new Replay();
            replay.run(arrivals);
            assertThat(replay.sentMillis.keySet()).as(name).containsExactlyElementsOf(arrivals);
            replay.sentMillis.forEach((arrival, millis) ->
                    assertThat(millis).as("%s %s", name, arrival).isLessThanOrEqualTo(arrival.latestMillis()));
        });
    }
}
