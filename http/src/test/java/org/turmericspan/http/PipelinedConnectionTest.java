package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Load: callers that send requests ahead on one connection, and leave, end their bytes or send broken ones. */
class PipelinedConnectionTest extends PipelinedFixture {
    @Test
    void requestThatMayNotBeRepeatedStartsBehindTheResponsesBeforeItAndKnowsHowLongItWaited() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/once/2") + get("/safe/3"));
            awaitStarted("/safe/1");
            expectNothingReceived(socket);
            assertThat(service().started()).hasSize(1);
            service().respond("/safe/1");
            await(() -> service().started().size() == 2);
            assertThat(service().reply("/once/2").waitedNanos())
                    .isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS));
            assertThat(readUntil(socket, "/safe/1;")).doesNotContain("/once");
            expectNothingReceived(socket);
            service().respond("/once/2");
            await(() -> service().started().size() == 3);
            service().respond("/safe/3");
            assertThat(readUntil(socket, "/safe/3;")).contains("/once/2;");
        }
    }

    @Test
    void callerThatLeavesCancelsAllRequestsAndStartsNone() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + get("/safe/3") + get("/once/4"));
            awaitStarted("/safe/1", "/safe/2", "/safe/3");
            service().respond("/safe/2", "b".repeat(LARGE_BYTES));
            await(() -> memory().responseBytes() == LARGE_BYTES);
        }
        await(() -> listener().connections() == 0);
        await(() -> service().cancelled().size() == 2);
        assertThat(service().cancelled()).containsExactlyInAnyOrder("/safe/1", "/safe/3");
        assertThat(service().started()).hasSize(3);
        assertThat(listener().requests()).isZero();
        assertThat(memory().responseBytes()).isZero();
        assertThat(memory().requestBytes()).isZero();
    }

    @Test
    void goodRequestsAreAnsweredBeforeTheMalformedOneBehindThemIsRejected() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/once/2") + "GET /x HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n");
            awaitStarted("/safe/1");
            service().respond("/safe/1");
            await(() -> service().started().size() == 2);
            service().respond("/once/2");
            String received = readAll(socket);
            assertThat(received)
                    .containsSubsequence("HTTP/1.1 200", "/safe/1;", "HTTP/1.1 200", "/once/2;", "HTTP/1.1 400");
            assertThat(received.substring(0, received.indexOf("/once/2;"))).doesNotContainIgnoringCase("close");
            assertThat(service().started()).hasSize(2);
        }
    }

    /** Guards against an interim response that the caller takes for a part of the response before it. */
    @Test
    void interimResponseDoesNotOvertakeAnEarlierResponse() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    get("/safe/1") + get("/safe/2")
                            + "POST /once/3 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
            awaitStarted("/safe/1", "/safe/2");
            expectNothingReceived(socket);
            service().respond("/safe/1");
            assertThat(readUntil(socket, "/safe/1;")).doesNotContain(" 100 ");
            expectNothingReceived(socket);
            service().respond("/safe/2");
            assertThat(readUntil(socket, "100 Continue\r\n\r\n")).contains("/safe/2;");
            send(socket, "a");
            awaitStarted("/safe/1", "/safe/2", "/once/3");
            service().respond("/once/3");
            assertThat(readUntil(socket, "/once/3;")).contains("HTTP/1.1 200");
        }
    }

    @Test
    void bodySentWithoutTheInterimResponseIsServedWithoutIt() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    get("/safe/1")
                            + "POST /safe/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\na");
            awaitStarted("/safe/1", "/safe/2");
            service().respond("/safe/2");
            service().respond("/safe/1");
            assertThat(readUntil(socket, "/safe/2;")).doesNotContain(" 100 ");
        }
    }

    @Test
    void callerThatAnnouncesItsLastRequestMayEndItsBytesBeforeTheResponses() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + lastGet("/once/3"));
            socket.shutdownOutput();
            awaitStarted("/safe/1", "/safe/2");
            expectNothingReceived(socket);
            service().respond("/safe/2");
            service().respond("/safe/1");
            await(() -> service().started().size() == 3);
            service().respond("/once/3");
            assertThat(readAll(socket)).containsSubsequence("/safe/1;", "/safe/2;", "/once/3;");
            assertThat(service().cancelled()).isEmpty();
        }
    }

    /** Guards against work for a caller that has left: the end of its bytes looks the same. */
    @Test
    void callerThatEndsItsBytesUnannouncedHasLeft() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2"));
            awaitStarted("/safe/1", "/safe/2");
            socket.shutdownOutput();
            await(() -> service().cancelled().size() == 2);
        }
    }

    @Test
    void callerThatAnnouncedItsLastRequestAndLeftIsNoticedWithTheFirstResponses() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + lastGet("/safe/3"));
            awaitStarted("/safe/1", "/safe/2", "/safe/3");
        }
        service().respond("/safe/1");
        TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
        service().respond("/safe/2");
        await(() -> service().cancelled().contains("/safe/3"));
        await(() -> listener().connections() == 0);
        assertThat(listener().requests()).isZero();
    }

    @Test
    void requestsBehindTheAnnouncedLastOneAreNotStarted() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + lastGet("/safe/2") + get("/safe/3"));
            awaitStarted("/safe/1", "/safe/2");
            service().respond("/safe/1");
            service().respond("/safe/2");
            assertThat(readAll(socket)).containsSubsequence("/safe/1;", "/safe/2;");
            assertThat(service().started()).hasSize(2);
        }
    }

    @Test
    void plannedStopAnswersAllThatWasReceivedAndClosesBehindTheLastResponse() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/safe/1") + get("/safe/2") + get("/once/3"));
            awaitStarted("/safe/1", "/safe/2");
            listener().drain();
            listener().closeIdle(0);
            service().respond("/safe/2");
            service().respond("/safe/1");
            await(() -> service().started().size() == 3);
            service().respond("/once/3");
            String received = readAll(socket);
            assertThat(received).containsSubsequence("/safe/1;", "/safe/2;", "/once/3;");
            assertThat(received.toLowerCase(Locale.ROOT).indexOf("connection: close"))
                    .isGreaterThan(received.indexOf("/safe/2;"));
        }
    }

    /** Guards against a request hidden in the body of another one, and against the loss of those before it. */
    @Test
    void requestWithTwoLengthsIsRejectedBehindTheRequestsBeforeIt() throws Exception {
        try (Socket socket = connect()) {
            String head = "POST /safe/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
            send(socket, get("/safe/1") + head + "1\r\nb\r\n0\r\n\r\n" + get("/safe/3"));
            awaitStarted("/safe/1");
            service().respond("/safe/1");
            assertThat(readAll(socket)).containsSubsequence("HTTP/1.1 200", "/safe/1;", "HTTP/1.1 400");
            assertThat(service().started()).hasSize(1);
        }
    }
}
