package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.ServiceId;

/** Guards against a success whose body is the start of one response and the start of another. */
final class SplicedResponseTest {
    private static final String BODY = "whole body of a response";
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-1\r\n";
    private static final String TIMEOUT =
            "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n" + "Turmericspan-Request-Id: %s\r\n\r\n";
    private static final int LONG_BODY_BYTES = 400;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());

    @AfterEach
    void close() {
        sender.close();
    }

    private AttemptOutcome outcomeFor(String response) throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response)) {
            CallRequest request = new CallRequest(
                    new RequestId("request-1"),
                    new OfficeId("pressroom"),
                    new CallerId("mari"),
                    new ServiceId("ordering"),
                    "GET",
                    "/stock",
                    List.of(),
                    Payload.EMPTY,
                    System.nanoTime() + TIMEOUT_NANOS,
                    0,
                    false,
                    true,
                    Optional.empty());
            return sender.send(new ValidLease(upstream.address()), request, 1_000)
                    .outcome()
                    .toCompletableFuture()
                    .join();
        }
    }

    /** Sends each start of a body and then a whole other response, and expects that no attempt has a result. */
    private void expectLostAtEachCut(String head, String afterSecond) throws IOException {
        List<String> results = new ArrayList<>();
        for (String id : List.of("request-1", "request-2")) {
            for (int length = 0; length < BODY.length(); length++) {
                AttemptOutcome outcome =
                        outcomeFor(head + BODY.substring(0, length) + TIMEOUT.formatted(id) + afterSecond);
                if (outcome.kind() != AttemptOutcome.Kind.CONNECTION_LOST || !outcome.mayHaveRun()) {
                    results.add(id + " after " + length + " bytes: " + outcome.kind());
                }
            }
        }
        assertThat(results).isEmpty();
    }

    @Test
    void responseThatFillsDeclaredLengthCountsAsLost() throws IOException {
        expectLostAtEachCut(HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n", "");
    }

    @Test
    void responseWithinDeclaredLengthCountsAsLost() throws IOException {
        expectLostAtEachCut(HEAD + "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n", " ".repeat(LONG_BODY_BYTES));
    }

    @Test
    void responseWithinChunkCountsAsLost() throws IOException {
        expectLostAtEachCut(
                HEAD + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(BODY.length()) + "\r\n", "");
    }

    @Test
    void responseBehindWholeOneDoesNotCount() throws IOException {
        AttemptOutcome outcome = outcomeFor(
                HEAD + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY + TIMEOUT.formatted("request-1"));
        assertThat(outcome.kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(new String(outcome.answer().body().bytes())).isEqualTo(BODY);
    }

    /** Bodies may speak of the protocol, and may end within what would be a head. */
    @Test
    void soundBodiesWithStatusLinesAreComplete() throws IOException {
        for (String body : List.of(
                "H", "HTTP/1.1", "HTTP/1.1 504 Gateway", "GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n")) {
            assertThat(outcomeFor(HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                            .kind())
                    .as(body)
                    .isEqualTo(AttemptOutcome.Kind.COMPLETE);
            assertThat(outcomeFor("HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + "Transfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n")
                            .kind())
                    .as(body)
                    .isEqualTo(AttemptOutcome.Kind.COMPLETE);
        }
    }
}
