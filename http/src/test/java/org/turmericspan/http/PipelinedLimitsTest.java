package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Load: a flood of requests on one connection, callers that read nothing, and responses that take memory. */
class PipelinedLimitsTest extends PipelinedFixture {
    @Test
    void responseThatIsReadyEarlyWaitsAndIsCounted() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2"));
            awaitStarted("/safe/1", "/safe/2");
            service().respond("/safe/2", "b".repeat(LARGE_BYTES) + "/safe/2;");
            await(() -> memory().responseBytes() > LARGE_BYTES);
            expectNothingReceived(socket);
            service().respond("/safe/1");
            assertThat(readUntil(socket, "/safe/2;")).containsSubsequence("/safe/1;", "HTTP/1.1 200", "bbb");
            await(() -> memory().responseBytes() == 0);
        }
    }

    @Test
    void bodyAboveTheLimitIsRejectedBehindTheRequestsBeforeIt() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    get("/safe/1") + get("/safe/2")
                            + "POST /safe/3 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000001\r\n\r\n");
            awaitStarted("/safe/1", "/safe/2");
            service().respond("/safe/2");
            service().respond("/safe/1");
            assertThat(readAll(socket)).containsSubsequence("/safe/1;", "/safe/2;", "HTTP/1.1 413");
        }
    }

    @Test
    void floodIsAnsweredInOrderWithinTheBound() throws Exception {
        int count = 1_000;
        try (Socket socket = connect()) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < count; i++) {
                requests.append(get("/safe/" + i));
            }
            send(socket, requests.toString());
            List<String> expected = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int current = i;
                await(() -> service().started().size() > current);
                assertThat(service().started().size() - i).isLessThanOrEqualTo(RequestPipeline.MAX_STARTED);
                service().respond("/safe/" + i);
                readUntil(socket, "\r\n\r\n/safe/" + i + ";");
                expected.add("/safe/" + i);
            }
            assertThat(service().started()).isEqualTo(expected);
        }
    }

    @Test
    void manyWaitingRequestsThatEndAtOnceAreServedInTurn() throws Exception {
        int count = 3_000;
        try (Socket socket = connect()) {
            StringBuilder requests = new StringBuilder(get("/once/first"));
            for (int i = 0; i < count; i++) {
                requests.append("GET /x HTTP/1.1\r\n\r\n");
            }
            requests.append(lastGet("/once/last"));
            send(socket, requests.toString());
            awaitStarted("/once/first");
            service().respondAtOnceFromNowOn();
            service().respond("/once/first");
            assertThat(readAll(socket).split("/x;", -1)).hasSize(count + 1);
        }
    }

    @Test
    void callerThatReadsNothingIsClosedAndItsMemoryFreed() throws Exception {
        try (Socket socket = connect()) {
            for (int i = 0; i < 40; i++) {
                send(socket, get("/safe/" + i));
            }
            await(() -> service().started().size() == RequestPipeline.MAX_STARTED);
            for (int i = 0; i < RequestPipeline.MAX_STARTED; i++) {
                service().respond("/safe/" + i, "b".repeat(MEMORY_BYTES));
            }
            TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
            assertThat(service().started()).hasSize(RequestPipeline.MAX_STARTED);
            await(() -> listener().connections() == 0);
            assertThat(service().started()).hasSize(RequestPipeline.MAX_STARTED);
            await(() -> memory().responseBytes() == 0);
        }
    }

    @Test
    void withoutMemoryForResponsesRequestsAreNotStartedAhead() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1"));
            awaitStarted("/safe/1");
            memory().addResponse(MEMORY_BYTES);
            send(socket, get("/safe/2"));
            expectNothingReceived(socket);
            assertThat(service().started()).hasSize(1);
            memory().releaseResponse(MEMORY_BYTES);
            service().respond("/safe/1");
            awaitStarted("/safe/1", "/safe/2");
        }
    }

    /** Guards against responses that wait behind a slow one and have the requests of other callers refused. */
    @Test
    void requestsAreNotStartedAheadInTheMemoryThatIsKeptForFirstRequests() throws Exception {
        memory().addResponse(MEMORY_BYTES * 6L / 10);
        try (Socket socket = connect();
                Socket other = connect()) {
            send(socket, get("/safe/1") + get("/safe/2"));
            expectNothingReceived(socket);
            send(other, get("/once/3"));
            awaitStarted("/safe/1", "/once/3");
            service().respond("/safe/1");
            awaitStarted("/safe/1", "/once/3", "/safe/2");
        }
    }

    @Test
    void withoutMemoryTheFirstIsRefusedAndThoseBehindItAreNotStarted() throws Exception {
        try (Socket socket = connect()) {
            memory().addResponse(MEMORY_BYTES);
            send(socket, get("/safe/1") + get("/safe/2"));
            assertThat(readAll(socket)).startsWith("HTTP/1.1 503").containsOnlyOnce("HTTP/1.1");
            assertThat(service().started()).isEmpty();
        }
    }

    @Test
    void headThatIsNotCompleteIsRejectedBehindTheRequestsBeforeIt() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2"));
            awaitStarted("/safe/1", "/safe/2");
            send(socket, "GET /x HTTP/1.1\r\nHo");
            TimeUnit.MILLISECONDS.sleep(2 * TimeUnit.NANOSECONDS.toMillis(LIMITS.idleTimeoutNanos()));
            service().respond("/safe/1");
            service().respond("/safe/2");
            assertThat(readAll(socket)).containsSubsequence("/safe/1;", "/safe/2;", "HTTP/1.1 408");
            assertThat(service().cancelled()).isEmpty();
        }
    }

    @Test
    void bodiesOfRequestsSentAheadBelongToTheirRequests() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST /safe/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
                            + "POST /safe/2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + "1\r\nb\r\n0\r\n\r\n"
                            + lastGet("/safe/3"));
            awaitStarted("/safe/1", "/safe/2", "/safe/3");
            assertThat(memory().requestBytes()).isPositive();
            service().respond("/safe/3");
            service().respond("/safe/2");
            service().respond("/safe/1");
            assertThat(readAll(socket)).containsSubsequence("/safe/1;", "/safe/2;", "/safe/3;");
            assertThat(memory().requestBytes()).isZero();
        }
    }
}
