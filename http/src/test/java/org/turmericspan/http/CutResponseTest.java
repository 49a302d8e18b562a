package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.turmericspan.ids.MonotonicClock;

/** Servers that stop within a response, at each of its bytes: the call is broken and never counts as answered. */
class CutResponseTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(60), false, Optional.of("X-Id"));
    private static final String INFORMATIONAL = "HTTP/1.1 %s\r\nX-Id: 1\r\n\r\n";
    private static final long SILENCE_MILLIS = 100;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());

    /** A response that states its end. */
    enum Form {
        LENGTH("GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nX-Last: 1\r\n\r\nwhole"),
        LENGTH_LAST("GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 15\r\n\r\nwhole and sound"),
        ZERO_LENGTH("GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"),
        CHUNKED("GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        TRAILER(
                "GET",
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;e\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n"),
        NO_CONTENT("GET", "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n"),
        NOT_MODIFIED("GET", "HTTP/1.1 304 Not Modified\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"),
        HEAD_REQUEST("HEAD", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"),
        OLD_VERSION("GET", "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole"),
        CLOSING("GET", "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole"),
        AFTER_CONTINUE("GET", INFORMATIONAL.formatted("100 Continue") + LENGTH.text),
        AFTER_PROCESSING("GET", INFORMATIONAL.formatted("102 Processing") + CHUNKED.text),
        AFTER_EARLY_HINTS("GET", INFORMATIONAL.formatted("103 Early Hints") + NO_CONTENT.text);

        private final String method;
        private final String text;

        Form(String method, String text) {
            this.method = method;
            this.text = text;
        }
    }

    /** How a server ends its connection. */
    @FunctionalInterface
    interface Ending {
        void end(Socket connection) throws IOException;
    }

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private CompletableFuture<CallEnd> start(RawServer server, String method) {
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        RequestMessage get = RequestMessage.get("/x", "host");
        client.call(
                server.address(),
                new RequestMessage(method, "/x", get.headers().with("X-Id", "1"), get.body()),
                OPTIONS,
                end::complete);
        return end;
    }

    private static RawServer.Script cutting(String text, int length, Ending ending) {
        return (head, connection) -> {
            RawServer.sending(text.substring(0, length)).respond(head, connection);
            ending.end(connection);
        };
    }

    static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Sends the response cut at each byte, and expects that the call is broken each time. */
    private void expectBroken(Form form, Ending ending) throws Exception {
        for (int length = 0; length < form.text.length(); length++) {
            try (RawServer server = new RawServer(cutting(form.text, length, ending))) {
                assertThat(start(server, form.method).get(20, TimeUnit.SECONDS))
                        .as("after %s bytes", length)
                        .isInstanceOf(CallEnd.Broken.class);
            }
        }
    }

    /** Shows that each form is a response, so that the tests of its cuts mean something. */
    @ParameterizedTest
    @EnumSource
    void wholeResponseIsAnswered(Form form) throws Exception {
        try (RawServer server = new RawServer(cutting(form.text, form.text.length(), Socket::close))) {
            assertThat(start(server, form.method).get(20, TimeUnit.SECONDS)).isInstanceOf(CallEnd.Answered.class);
        }
    }

    @ParameterizedTest
    @EnumSource
    void responseInSingleBytesIsAnswered(Form form) throws Exception {
        try (RawServer server = new RawServer((head, connection) -> {
            connection.setTcpNoDelay(true);
            OutputStream output = connection.getOutputStream();
            for (byte next : form.text.getBytes(StandardCharsets.UTF_8)) {
                output.write(next);
                output.flush();
            }
        })) {
            assertThat(start(server, form.method).get(20, TimeUnit.SECONDS)).isInstanceOf(CallEnd.Answered.class);
        }
    }

    @ParameterizedTest
    @EnumSource
    void responseCutByCloseIsBroken(Form form) throws Exception {
        expectBroken(form, Socket::close);
    }

    @ParameterizedTest
    @EnumSource
    void responseCutByHalfCloseIsBroken(Form form) throws Exception {
        expectBroken(form, Socket::shutdownOutput);
    }

    @ParameterizedTest
    @EnumSource
    void responseCutByResetIsBroken(Form form) throws Exception {
        expectBroken(form, CutResponseTest::reset);
    }

    @ParameterizedTest
    @EnumSource
    void responseInSingleBytesCutByCloseIsBroken(Form form) throws Exception {
        for (int length = 0; length < form.text.length(); length++) {
            String part = form.text.substring(0, length);
            try (RawServer server = new RawServer((head, connection) -> {
                connection.setTcpNoDelay(true);
                for (byte next : part.getBytes(StandardCharsets.UTF_8)) {
                    connection.getOutputStream().write(next);
                }
                connection.close();
            })) {
                assertThat(start(server, form.method).get(20, TimeUnit.SECONDS))
                        .as("after %s bytes", length)
                        .isInstanceOf(CallEnd.Broken.class);
            }
        }
    }

    /** A silent server leaves the call open until its deadline, at which it is cancelled. */
    @ParameterizedTest
    @EnumSource
    void responseCutBySilenceDoesNotEndTheCall(Form form) throws Exception {
        List<RawServer> servers = new ArrayList<>();
        List<CompletableFuture<CallEnd>> ends = new ArrayList<>();
        try {
            for (int length = 0; length < form.text.length(); length++) {
                RawServer server = new RawServer(cutting(form.text, length, connection -> {}));
                servers.add(server);
                ends.add(start(server, form.method));
            }
            TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS);
            assertThat(ends).noneMatch(CompletableFuture::isDone);
        } finally {
            for (RawServer server : servers) {
                server.close();
            }
        }
    }

    /** Guards against a cut head that is taken for the whole head of a response which ends with its connection. */
    @Test
    void cutHeadOfResponseWithoutLengthIsBroken() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
        for (int length = 0; length < head.length(); length++) {
            for (Ending ending : List.<Ending>of(Socket::close, Socket::shutdownOutput, CutResponseTest::reset)) {
                try (RawServer server = new RawServer(cutting(head, length, ending))) {
                    assertThat(start(server, "GET").get(20, TimeUnit.SECONDS))
                            .as("after %s bytes", length)
                            .isInstanceOf(CallEnd.Broken.class);
                }
            }
        }
    }
}
