package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ScriptedServer;

/** Guards against a value that is read from a response with a malformed head. */
final class BrokenHeadTest {
    private static final String VALUE = "{\"revision\":7,\"value\":\"v\"}";

    private static CompletableFuture<Optional<PlatformValue>> read(String statusLineAndField) throws Exception {
        try (ScriptedServer server = new ScriptedServer();
                HttpPlatformReader reader = new HttpPlatformReader(server.address())) {
            server.setResponse(statusLineAndField + "\r\nContent-Length: " + VALUE.length() + "\r\n\r\n" + VALUE);
            CompletableFuture<Optional<PlatformValue>> result =
                    reader.watch("key", 1, Duration.ofSeconds(5)).toCompletableFuture();
            result.handle((value, failure) -> value).get(20, TimeUnit.SECONDS);
            return result;
        }
    }

    @Test
    void malformedHeadFailsTheRead() throws Exception {
        for (String head : List.of(
                "HTTP/1.1 000 Odd",
                "HTTP/1.1 999 Odd",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 200 OK\r\nX A: 1",
                "HTTP/1.1 200 OK\r\nX\u0001A: 1")) {
            assertThat(read(head)).as(head).isCompletedExceptionally();
        }
    }

    @Test
    void soundHeadIsRead() throws Exception {
        assertThat(read("HTTP/1.1 200\r\nX-A:1").get()).contains(new PlatformValue(7, "v"));
    }
}
