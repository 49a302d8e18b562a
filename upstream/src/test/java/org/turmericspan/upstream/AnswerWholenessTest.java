package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/**
 * Guards against a response that is taken for complete or for the caller's own although it is not: it is truncated, or
 * it belongs to another request or attempt.
 */
final class AnswerWholenessTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-1\r\n";
    private static final String SHED = "HTTP/1.1 503 Busy\r\nTurmericspan-Not-Run: 1\r\nContent-Length: 0\r\n";
    private static final int RESPONSE_LIMIT_BYTES = 100;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());

    @AfterEach
    void close() {
        sender.close();
    }

    @Test
    void responseWithContentLengthIsComplete() throws IOException {
        AttemptOutcome outcome = outcomeFor(OK + "Content-Length: 5\r\n\r\nwhole");
        assertThat(outcome.kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(new String(outcome.answer().body().bytes())).isEqualTo("whole");
    }

    @Test
    void chunkedResponseWithLastChunkIsComplete() throws IOException {
        assertThat(outcomeKindFor(OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.COMPLETE);
    }

    @Test
    void closeDelimitedResponseCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor(OK + "Connection: close\r\n\r\nsho")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void responseShorterThanContentLengthCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor(OK + "Content-Length: 5\r\n\r\nsho")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void chunkedResponseWithoutLastChunkCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nsho\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void noContentResponseWithoutLengthIsComplete() throws IOException {
        assertThat(outcomeKindFor("HTTP/1.1 204 None\r\nTurmericspan-Request-Id: request-1\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.COMPLETE);
    }

    @Test
    void responseWithOtherRequestIdCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor("HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-2\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void responseWithOtherAttemptIdCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor(OK + "Turmericspan-Attempt-Id: 0\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    /** Guards against a status that is that of an earlier response, of which a part arrived before this one. */
    @Test
    void statusLineWithinAnotherCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor("HTTP/1.1 503 Bu" + OK + "Content-Length: 5\r\n\r\nwhole"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    /** Guards against the same where the part ends within a header value. */
    @Test
    void statusLineWithinAHeaderCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor("HTTP/1.1 503 Busy\r\nX-Why: fu" + OK + "Content-Length: 0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void responseThatEchoesAttemptIdIsComplete() throws IOException {
        UnaryOperator<String> echo =
                attemptId -> OK + "Turmericspan-Attempt-Id: " + attemptId + "\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream(echo)) {
            assertThat(send(upstream.address()).kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        }
    }

    @Test
    void responseBeyondLimitIsTooLarge() throws IOException {
        assertThat(outcomeKindFor(OK + "Content-Length: 101\r\n\r\n" + "x".repeat(101)))
                .isEqualTo(AttemptOutcome.Kind.ANSWER_TOO_LARGE);
    }

    @Test
    void notRunResponseThatEchoesRequestIdIsShed() throws IOException {
        assertThat(outcomeKindFor(SHED + "Turmericspan-Request-Id: request-1\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.SHED);
    }

    @Test
    void notRunResponseWithoutRequestIdCountsAsConnectionLost() throws IOException {
        assertThat(outcomeKindFor(SHED + "\r\n")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void unavailableResponseWithRetryAfterZeroIsForwardedWithoutResending() throws IOException {
        String response = "HTTP/1.1 503 Busy\r\nTurmericspan-Request-Id: request-1\r\n"
                + "Retry-After: 0\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response)) {
            AttemptOutcome outcome = send(upstream.address());
            assertThat(outcome.kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
            assertThat(outcome.answer().headers()).contains(new Header("Retry-After", "0"));
            assertThat(upstream.requests()).isEqualTo(1);
        }
    }

    @Test
    void requestOnRefusedConnectionDidNotRun() throws IOException {
        SocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = new SocketAddress("127.0.0.1", socket.getLocalPort());
        }
        assertThat(send(closed).mayHaveRun()).isFalse();
    }

    private AttemptOutcome.Kind outcomeKindFor(String response) throws IOException {
        return outcomeFor(response).kind();
    }

    private AttemptOutcome outcomeFor(String response) throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response)) {
            return send(upstream.address());
        }
    }

    private AttemptOutcome send(SocketAddress address) {
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
        return sender.send(new ValidLease(address), request, RESPONSE_LIMIT_BYTES)
                .outcome()
                .toCompletableFuture()
                .join();
    }
}
