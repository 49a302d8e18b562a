package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Payload;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;

/** Upstreams that stop within a response, at each of its bytes, and close: the request may have run, without result. */
final class CutResponseTest {
    private static final String ID = "Turmericspan-Request-Id: request-1\r\n";
    private static final String LENGTH = "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 5\r\n\r\nwhole";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\n" + ID + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    private static final String NO_CONTENT = "HTTP/1.1 204 No Content\r\n" + ID + "\r\n";
    private static final String NOT_MODIFIED = "HTTP/1.1 304 Not Modified\r\n" + ID + "\r\n";
    private static final String OLD_VERSION = "HTTP/1.0 200 OK\r\n" + ID + "Content-Length: 5\r\n\r\nwhole";
    private static final String SHED =
            "HTTP/1.1 503 Busy\r\nTurmericspan-Not-Run: 1\r\n" + ID + "Content-Length: 0\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String EARLY_HINTS = "HTTP/1.1 103 Early Hints\r\n\r\n";
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpUpstreamSender sender = new HttpUpstreamSender(clock);

    @AfterEach
    void close() {
        sender.close();
    }

    private AttemptOutcome outcomeFor(String method, String response, boolean idempotent) throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response)) {
            return send(upstream.address(), method, idempotent);
        }
    }

    private AttemptOutcome send(SocketAddress address, String method, boolean idempotent) {
        CallRequest request = new CallRequest(
                new RequestId("request-1"),
                new OfficeId("pressroom"),
                new CallerId("mari"),
                new ServiceId("ordering"),
                method,
                "/stock",
                List.of(),
                Payload.EMPTY,
                clock.nowNanos() + TIMEOUT_NANOS,
                0,
                false,
                idempotent,
                Optional.empty());
        return sender.send(new ValidLease(address), request, 100)
                .outcome()
                .toCompletableFuture()
                .join();
    }

    private void expectLostAtEachCut(String method, String response) throws IOException {
        assertThat(outcomeFor(method, response, true).kind())
                .isIn(AttemptOutcome.Kind.COMPLETE, AttemptOutcome.Kind.SHED);
        for (int length = 0; length < response.length(); length++) {
            for (boolean idempotent : List.of(true, false)) {
                AttemptOutcome outcome = outcomeFor(method, response.substring(0, length), idempotent);
                assertThat(outcome.kind()).as("after %s bytes", length).isEqualTo(AttemptOutcome.Kind.CONNECTION_LOST);
                assertThat(outcome.mayHaveRun()).isTrue();
                assertThat(outcome.answer().body().length()).isZero();
            }
        }
    }

    @Test
    void cutResponseWithLengthIsLost() throws IOException {
        expectLostAtEachCut("GET", LENGTH);
    }

    @Test
    void cutChunkedResponseIsLost() throws IOException {
        expectLostAtEachCut("GET", CHUNKED);
    }

    @Test
    void cutResponseWithoutContentIsLost() throws IOException {
        expectLostAtEachCut("GET", NO_CONTENT);
        expectLostAtEachCut("GET", NOT_MODIFIED);
    }

    @Test
    void cutResponseToHeadRequestIsLost() throws IOException {
        expectLostAtEachCut("HEAD", LENGTH.substring(0, LENGTH.indexOf("whole")));
    }

    @Test
    void cutResponseOfOldVersionIsLost() throws IOException {
        expectLostAtEachCut("GET", OLD_VERSION);
    }

    @Test
    void cutResponseBehindInformationalOneIsLost() throws IOException {
        expectLostAtEachCut("GET", CONTINUE + LENGTH);
        expectLostAtEachCut("GET", EARLY_HINTS + CHUNKED);
    }

    /** Guards against a promise that a request did not run, made for a response that is not whole. */
    @Test
    void cutRefusalPromisesNothing() throws IOException {
        expectLostAtEachCut("GET", SHED);
    }

    /** Guards against the same where the head is whole and the body is not. */
    @Test
    void cutBodyOfRefusalPromisesNothing() throws IOException {
        expectLostAtEachCut("GET", SHED.replace("Content-Length: 0", "Content-Length: 4") + "busy");
    }

    /** Guards against the signals of a probe response that are those of another response. */
    @Test
    void probeResponseWithTwoStatusLinesReportsNothing() throws IOException {
        String response = "HTTP/1.1 200 OK\r\nX-Why: HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        try (HttpUpstreamProbe probe = new HttpUpstreamProbe(clock);
                ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response)) {
            assertThat(probe.send(upstream.address(), Duration.ofSeconds(5))
                            .toCompletableFuture()
                            .join())
                    .isEmpty();
        }
    }

    @Test
    void cutProbeResponseReportsNothing() throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
        try (HttpUpstreamProbe probe = new HttpUpstreamProbe(clock)) {
            for (int length = 0; length <= response.length(); length++) {
                String part = response.substring(0, length);
                try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> part)) {
                    Optional<ProbeReport> report = probe.send(upstream.address(), Duration.ofSeconds(5))
                            .toCompletableFuture()
                            .join();
                    assertThat(report.isPresent()).as("after %s bytes", length).isEqualTo(length == response.length());
                }
            }
        }
    }
}
