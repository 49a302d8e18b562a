package org.turmericspan.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.turmericspan.calls.CallRequest;

/** Sends malformed, oversized and slow requests to a caller server on loopback. */
final class CallerServerTest {
    private static CallerServerHarness harness;

    @BeforeAll
    static void start() {
        harness = new CallerServerHarness();
    }

    @AfterAll
    static void stop() {
        harness.close();
    }

    @BeforeEach
    void clearCalls() {
        harness.calls().clear();
    }

    @Test
    void bodyAndHeadersAreForwarded() throws IOException {
        String response = harness.exchange(CallerServerHarness.head(
                        "POST /v1/services/mixing/jobs?press=4",
                        "Content-Length: 5\r\n",
                        "Colour: teal\r\n",
                        "X-Hop: 1\r\n",
                        "Connection: X-Hop, Turmericspan-Office\r\n",
                        "Turmericspan-Depth: 3\r\n",
                        "Turmericspan-Not-Run: 1\r\n")
                + "press");

        assertThat(response).startsWith("HTTP/1.1 200").endsWith("ok").contains("Turmericspan-Request-Id: r-1");
        CallRequest call = harness.calls().get(0);
        assertThat(call.path()).isEqualTo("/jobs?press=4");
        assertThat(new String(call.body().bytes(), StandardCharsets.UTF_8)).isEqualTo("press");
        assertThat(call.depth()).isEqualTo(3);
        assertThat(call.headers())
                .extracting(header -> header.name() + "=" + header.value())
                .containsExactlyInAnyOrder("Turmericspan-Office=pressroom", "Turmericspan-Caller=mari", "Colour=teal");
    }

    @ParameterizedTest
    @CsvSource({
        "GET /v1/services/other/a, 1001, 404",
        "GET /v1/nothing, 1001, 404",
        "POST /v1/locate, 1012, 405",
        "TRACE /v1/services/mixing/a, 1012, 405",
        "GET /v1/services/mixing/a//b, 1002, 400",
        "GET /v1/services/mixing/a/../b, 1002, 400",
        "GET /v1/services/mixing/a/./b, 1002, 400",
        "GET /v1/services/mixing/%6Frders, 1002, 400",
        "GET /v1/services/mixing/a%2Fb, 1002, 400",
        "GET /v1/services/mixing/a%00, 1002, 400",
        "GET /v1/services/mixing/a%0d%0aX, 1002, 400",
        "GET /v1/services/mixing/a;b, 1002, 400",
        "GET /v1/services/mixing/a?b=%zz, 1002, 400",
        "GET /v1/services/mixing/a?b=\\, 1002, 400",
        "GET /v1/services/m%69xing/a, 1002, 400",
        "GET /v1/services/, 1001, 404",
        "GET /v1/locate?service=../x, 1002, 400",
    })
    void nonCanonicalOrUnknownPathIsRefusedWithCode(String line, int code, int status) throws IOException {
        assertRefused(harness.exchange(CallerServerHarness.head(line)), code, status);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Turmericspan-Office: second\r\n",
                "Turmericspan-Depth: -1\r\n",
                "Turmericspan-Depth: 1e3\r\n",
                "Turmericspan-Depth: \r\n",
                "Turmericspan-Deadline-Ms: 99999999999999999999\r\n",
                "Colour: t\u00e9al\r\n",
                "Content-Length: 3\r\n",
                "Transfer-Encoding: chunked\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n",
                "Content-Length: -1\r\n",
                "Bad Name: 1\r\n",
            })
    void malformedHeaderIsRefusedWithCode(String header) throws IOException {
        assertRefused(harness.exchange(CallerServerHarness.head("GET /v1/services/mixing/a", header)), 1002, 400);
    }

    @ParameterizedTest
    @ValueSource(strings = {"nonsense", "1.x.00000000000000000000000000000000.c", "...", "1.1.zz.c"})
    void malformedTokenIsRefusedWithUnknownRan(String token) throws IOException {
        String header = "Turmericspan-Run-Token: " + token + "\r\n";

        assertThat(harness.exchange(CallerServerHarness.head("POST /v1/services/mixing/a", header)))
                .startsWith("HTTP/1.1 400")
                .contains("{\"code\":1002,\"ran\":\"unknown\"");
    }

    @Test
    void tooManyHeadersAreRefused() throws IOException {
        assertRefused(
                harness.exchange(CallerServerHarness.head("GET /v1/services/mixing/a", "A: 1\r\n".repeat(65))),
                1003,
                413);
    }

    @Test
    void tooLongHeadersAreRefused() throws IOException {
        String header = "A: " + "x".repeat(20_000) + "\r\n";
        assertRefused(harness.exchange(CallerServerHarness.head("GET /v1/services/mixing/a", header)), 1003, 413);
    }

    @Test
    void tooLongPathIsRefused() throws IOException {
        assertRefused(
                harness.exchange(CallerServerHarness.head("GET /v1/services/mixing/" + "a".repeat(5_000))), 1003, 413);
    }

    @Test
    void tooLargeBodyIsRefusedByDeclaredLength() throws IOException {
        assertRefused(
                harness.exchange(CallerServerHarness.head("POST /v1/services/mixing/a", "Content-Length: 1001\r\n")),
                1003,
                413);
    }

    @Test
    void tooLargeChunkedBodyIsRefused() throws IOException {
        String body = "5dc\r\n" + "x".repeat(1_500) + "\r\n0\r\n\r\n";
        assertRefused(
                harness.exchange(
                        CallerServerHarness.head("POST /v1/services/mixing/a", "Transfer-Encoding: chunked\r\n")
                                + body),
                1003,
                413);
    }

    @Test
    void slowBodiesBlockNoThreadAndAreRefusedAtDeadline() throws IOException {
        List<Socket> slowSockets = new ArrayList<>();
        try {
            for (int i = 0; i < 300; i++) {
                Socket socket = harness.connect();
                slowSockets.add(socket);
                socket.getOutputStream()
                        .write((CallerServerHarness.head("POST /v1/services/mixing/a", "Content-Length: 9\r\n") + "x")
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
            assertThat(harness.exchange(CallerServerHarness.head("GET /v1/services/mixing/a")))
                    .startsWith("HTTP/1.1 200");
            for (Socket socket : slowSockets) {
                assertRefused(CallerServerHarness.readResponse(socket), 1013, 408);
            }
            assertThat(harness.calls()).hasSize(1);
        } finally {
            for (Socket socket : slowSockets) {
                socket.close();
            }
        }
    }

    private static void assertRefused(String response, int code, int status) {
        assertThat(response)
                .startsWith("HTTP/1.1 " + status)
                .contains("{\"code\":" + code + ",\"ran\":\"no\"")
                .containsIgnoringCase("content-type: application/json");
    }
}
