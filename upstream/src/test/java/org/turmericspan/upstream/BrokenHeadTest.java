package org.turmericspan.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
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

/** Upstreams that send a malformed head or trailers: the request may have run, and the attempt ends at once. */
final class BrokenHeadTest {
    private static final String ID = "Turmericspan-Request-Id: request-1\r\n";
    private static final String NOT_RUN = "Turmericspan-Not-Run: 1\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
    private static final long TIMEOUT_NANOS = 10_000_000_000L;
    private static final long AT_ONCE_NANOS = 5_000_000_000L;

    private static final List<String> STATUSES = List.of(
            "000", "001", "099", "101", "600", "999", "0200", "0503", "00503", "1000", "429000", "20", "+20", "-20");
    private static final List<String> LINES = List.of(
            "X A: 1",
            "X\tA: 1",
            "X-A : 1",
            "X-A\t: 1",
            "Content-Length : 3",
            "Content-Length X: 3",
            "Turmericspan-Not-Run : 1",
            "X\u0001A: 1",
            "X\u0000A: 1",
            "X-A\u007f: 1",
            "X(A): 1",
            ": 1",
            "no colon");

    private final MonotonicClock clock = MonotonicClock.system();
    private final HttpUpstreamSender sender = new HttpUpstreamSender(clock);

    @AfterEach
    void close() {
        sender.close();
    }

    private AttemptOutcome outcomeFor(String response, boolean idempotent) throws IOException {
        try (ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response, true)) {
            CallRequest request = new CallRequest(
                    new RequestId("request-1"),
                    new OfficeId("pressroom"),
                    new CallerId("mari"),
                    new ServiceId("ordering"),
                    "GET",
                    "/stock",
                    List.of(),
                    Payload.EMPTY,
                    clock.nowNanos() + TIMEOUT_NANOS,
                    0,
                    false,
                    idempotent,
                    Optional.empty());
            return sender.send(new ValidLease(upstream.address()), request, 1_000)
                    .outcome()
                    .toCompletableFuture()
                    .join();
        }
    }

    /** Sends each response to an idempotent and to another request, and expects that no attempt has a result. */
    private void expectLostAtOnce(List<String> responses) throws IOException {
        List<String> results = new ArrayList<>();
        for (String response : responses) {
            for (boolean idempotent : List.of(true, false)) {
                long startNanos = clock.nowNanos();
                AttemptOutcome outcome = outcomeFor(response, idempotent);
                boolean isAtOnce = clock.nowNanos() - startNanos < AT_ONCE_NANOS;
                if (outcome.kind() != AttemptOutcome.Kind.CONNECTION_LOST || !outcome.mayHaveRun() || !isAtOnce) {
                    results.add(response + ": " + outcome.kind() + " "
                            + outcome.answer().status());
                }
            }
        }
        assertThat(results).as("%s cases", results.size()).isEmpty();
    }

    @Test
    void responseWithInvalidStatusCountsAsLost() throws IOException {
        List<String> responses = new ArrayList<>();
        for (String status : STATUSES) {
            for (String proof : List.of("", NOT_RUN)) {
                responses.add("HTTP/1.1 " + status + " Odd\r\n" + ID + proof + "Content-Length: 5\r\n\r\nwhole");
                responses.add("HTTP/1.1 " + status + " Odd\r\n" + ID + proof + CHUNKED + "\r\n");
            }
        }
        expectLostAtOnce(responses);
    }

    @Test
    void responseWithMalformedFieldNameCountsAsLost() throws IOException {
        List<String> responses = new ArrayList<>();
        for (String line : LINES) {
            responses.add("HTTP/1.1 200 OK\r\n" + ID + line + "\r\nContent-Length: 5\r\n\r\nwhole");
            responses.add("HTTP/1.1 200 OK\r\n" + line + "\r\n" + ID + CHUNKED + "\r\n");
            responses.add("HTTP/1.1 503 Busy\r\n" + ID + NOT_RUN + line + "\r\nContent-Length: 0\r\n\r\n");
        }
        expectLostAtOnce(responses);
    }

    @Test
    void responseWithMalformedTrailerCountsAsLost() throws IOException {
        List<String> responses = new ArrayList<>();
        for (String line : LINES) {
            responses.add("HTTP/1.1 200 OK\r\n" + ID + CHUNKED + line + "\r\n\r\n");
            responses.add("HTTP/1.1 503 Busy\r\n" + ID + NOT_RUN + CHUNKED + line + "\r\n\r\n");
        }
        expectLostAtOnce(responses);
    }

    /** Guards against a wait for the rest of a head. */
    @Test
    void headThatStopsBehindMalformedLineCountsAsLost() throws IOException {
        expectLostAtOnce(List.of(
                "HTTP/1.1 000 Odd\r\n",
                "HTTP/1.1 0200 OK\r\n" + ID,
                "HTTP/1.1 200 OK\r\n" + ID + "X A: 1\r\n",
                "ICY 200 OK\r\n"));
    }

    /** Guards against a malformed informational response, which the library drops without showing it. */
    @Test
    void malformedInformationalResponseCountsAsLost() throws IOException {
        String ok = "HTTP/1.1 200 OK\r\n" + ID + "Content-Length: 5\r\n\r\nwhole";
        expectLostAtOnce(List.of(
                "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\n" + ok,
                "HTTP/1.1 103 Early Hints\r\nContent-Length: " + ok.length() + "\r\n\r\n" + ok,
                "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + ok,
                "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok,
                "ICY 200 OK\r\n" + ID + "Content-Length: 5\r\n\r\nwhole"));
    }

    @Test
    void malformedProbeResponseReportsNothing() throws IOException {
        for (String response : List.of(
                "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTurmericspan-Running : 1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n" + CHUNKED + "X A: 1\r\n\r\n")) {
            try (HttpUpstreamProbe probe = new HttpUpstreamProbe(clock);
                    ScriptedUpstream upstream = new ScriptedUpstream(attemptId -> response, true)) {
                assertThat(probe.send(upstream.address(), Duration.ofSeconds(5))
                                .toCompletableFuture()
                                .join())
                        .as(response)
                        .isEmpty();
            }
        }
    }

    @Test
    void soundResponsesAreComplete() throws IOException {
        String length = "Content-Length: 5\r\n\r\nwhole";
        for (String response : List.of(
                "HTTP/1.1 200\r\n" + ID + length,
                "HTTP/1.1 200 \r\n" + ID + length,
                "HTTP/1.0 200 OK\r\n" + ID + length,
                "HTTP/1.1 599 Odd\r\n" + ID + length,
                "HTTP/1.1 204 No Content\r\n" + ID + "\r\n",
                "HTTP/1.1 304 Not Modified\r\n" + ID + "\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + ID + length,
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + ID + length,
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + ID + length,
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz:\t1 \r\nX-Empty:\r\n" + ID + length,
                "HTTP/1.1 200 OK\r\n" + ID + CHUNKED + "\r\n",
                "HTTP/1.1 200 OK\r\n" + ID + CHUNKED + "X-Checksum: 17\r\nX-Empty:\r\n\r\n")) {
            assertThat(outcomeFor(response, true).kind()).as(response).isEqualTo(AttemptOutcome.Kind.COMPLETE);
        }
    }
}
