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

final class AnswerWholenessTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-1\r\n";
    private static final String SHED = "HTTP/1.1 503 Busy\r\nTurmericspan-Not-Run: 1\r\nContent-Length: 0\r\n";
    private static final int ANSWER_LIMIT = 100;
    private static final long DEADLINE_NANOS = 5_000_000_000L;

    private final HttpUpstreamSender sender = new HttpUpstreamSender(MonotonicClock.system());

    @AfterEach
    void close() {
        sender.close();
    }

    @Test
    void answerWithItsLengthIsWhole() throws IOException {
        AttemptOutcome outcome = replyTo(OK + "Content-Length: 5\r\n\r\nwhole");
        assertThat(outcome.kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        assertThat(new String(outcome.answer().body().bytes())).isEqualTo("whole");
    }

    @Test
    void chunkedAnswerWithItsEndIsWhole() throws IOException {
        assertThat(kindOf(OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.COMPLETE);
    }

    @Test
    void answerThatEndsWithItsConnectionIsRefused() throws IOException {
        assertThat(kindOf(OK + "Connection: close\r\n\r\nsho")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void answerShorterThanItsLengthIsRefused() throws IOException {
        assertThat(kindOf(OK + "Content-Length: 5\r\n\r\nsho")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void chunkedAnswerWithoutItsEndIsRefused() throws IOException {
        assertThat(kindOf(OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nsho\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void answerWithoutLengthToACallWithoutBodyStatusIsWhole() throws IOException {
        assertThat(kindOf("HTTP/1.1 204 None\r\nTurmericspan-Request-Id: request-1\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.COMPLETE);
    }

    @Test
    void answerOfAnotherRequestIsRefused() throws IOException {
        assertThat(kindOf("HTTP/1.1 200 OK\r\nTurmericspan-Request-Id: request-2\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void answerOfAnotherAttemptUnderTheSameRequestIdIsRefused() throws IOException {
        assertThat(kindOf(OK + "Turmericspan-Attempt-Id: 0\r\nContent-Length: 0\r\n\r\n"))
                .isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void answerThatEchoesItsAttemptIsWhole() throws IOException {
        UnaryOperator<String> echo =
                attempt -> OK + "Turmericspan-Attempt-Id: " + attempt + "\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream(echo)) {
            assertThat(send(upstream.address()).kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        }
    }

    @Test
    void answerBeyondTheLimitIsRefused() throws IOException {
        assertThat(kindOf(OK + "Content-Length: 101\r\n\r\n" + "x".repeat(101)))
                .isEqualTo(AttemptOutcome.Kind.ANSWER_TOO_LARGE);
    }

    @Test
    void refusalThatEchoesTheRequestWasNotRun() throws IOException {
        assertThat(kindOf(SHED + "Turmericspan-Request-Id: request-1\r\n\r\n")).isEqualTo(AttemptOutcome.Kind.SHED);
    }

    @Test
    void refusalOfAnotherRequestProvesNothing() throws IOException {
        assertThat(kindOf(SHED + "\r\n")).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
    }

    @Test
    void unavailableWithRetryAfterZeroIsSentOnceAndPassedOn() throws IOException {
        String answer = "HTTP/1.1 503 Busy\r\nTurmericspan-Request-Id: request-1\r\n"
                + "Retry-After: 0\r\nContent-Length: 0\r\n\r\n";
        try (ScriptedUpstream upstream = new ScriptedUpstream(attempt -> answer)) {
            AttemptOutcome outcome = send(upstream.address());
            assertThat(outcome.kind()).isEqualTo(AttemptOutcome.Kind.COMPLETE);
            assertThat(outcome.answer().headers()).contains(new Header("Retry-After", "0"));
            assertThat(upstream.requests()).isEqualTo(1);
        }
    }

    @Test
    void refusedConnectionSentNothing() throws IOException {
        SocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = new SocketAddress("127.0.0.1", socket.getLocalPort());
        }
        assertThat(send(closed).mayHaveRun()).isFalse();
    }

    private AttemptOutcome.Kind kindOf(String answer) throws IOException {
        return replyTo(answer).kind();
    }

    private AttemptOutcome replyTo(String answer) throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(attempt -> answer)) {
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
                System.nanoTime() + DEADLINE_NANOS,
                0,
                false,
                true,
                Optional.empty());
        return sender.send(new ValidLease(address), request, ANSWER_LIMIT)
                .outcome()
                .toCompletableFuture()
                .join();
    }
}
