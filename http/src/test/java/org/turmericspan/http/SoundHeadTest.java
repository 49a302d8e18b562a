package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.turmericspan.ids.MonotonicClock;

/** Unusual responses that are well-formed, and therefore delivered as the server sent them. */
class SoundHeadTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), 0, false, Optional.of("X-Id"));
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc";

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private ResponseMessage responseTo(String method, String sent) throws Exception {
        try (RawServer server = new RawServer(RawServer.sending(sent))) {
            CompletableFuture<CallEnd> end = new CompletableFuture<>();
            RequestMessage request = RequestMessage.get("/x", "host");
            client.call(
                    server.address(),
                    new RequestMessage(method, "/x", request.headers().with("X-Id", "1"), request.body()),
                    OPTIONS,
                    end::complete);
            CallEnd received = end.get(20, TimeUnit.SECONDS);
            assertThat(received).isInstanceOf(CallEnd.Answered.class);
            return ((CallEnd.Answered) received).response();
        }
    }

    private static String bodyOf(ResponseMessage response) {
        return new String(response.body(), StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 199 \r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
            })
    void finalResponseBehindInformationalOnesIsDelivered(String informational) throws Exception {
        ResponseMessage response = responseTo("GET", informational + OK);
        assertThat(response.status()).isEqualTo(200);
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    @ParameterizedTest
    @ValueSource(ints = {204, 304})
    void responseWithoutBodyIsDelivered(int status) throws Exception {
        ResponseMessage response = responseTo("GET", "HTTP/1.1 " + status + " Some\r\nX-Id: 1\r\n\r\n");
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.body()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 299, 399, 418, 451, 499, 599})
    void eachFinalStatusIsDelivered(int status) throws Exception {
        ResponseMessage response =
                responseTo("GET", "HTTP/1.1 " + status + " Some\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc");
        assertThat(response.status()).isEqualTo(status);
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 200 Tr\u00e8s bien: (200)"})
    void reasonIsOptionalAndOfAnyText(String statusLine) throws Exception {
        ResponseMessage response = responseTo("GET", statusLine + "\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc");
        assertThat(response.status()).isEqualTo(200);
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "X-Checksum: 17\r\n",
                "X-Checksum:17\r\nX-Empty:\r\n",
                "!#$%&'*+-.^_`|~09AZaz: \tany : value\t \r\n"
            })
    void trailersAreAccepted(String trailers) throws Exception {
        ResponseMessage response = responseTo(
                "GET",
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + trailers
                        + "\r\n");
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"X-A:1", "X-A:", "X-A:  \t1\t ", "!#$%&'*+-.^_`|~09AZaz: 1", "X-A: a: b : c", "x-lower-case: 1"})
    void wellFormedFieldIsDelivered(String line) throws Exception {
        ResponseMessage response =
                responseTo("GET", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + line + "\r\nContent-Length: 3\r\n\r\nabc");
        String name = line.substring(0, line.indexOf(':'));
        assertThat(response.headers().first(name))
                .contains(line.substring(name.length() + 1).trim());
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    /** RFC 9112, section 5.2 lets a gateway replace the line break of a folded value by a blank. */
    @ParameterizedTest
    @ValueSource(strings = {" b", "\tb", " X-B: 1"})
    void foldedValueIsJoined(String continuation) throws Exception {
        ResponseMessage response = responseTo(
                "GET", "HTTP/1.1 200 OK\r\nX-A: a\r\n" + continuation + "\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc");
        assertThat(response.headers().first("X-A")).contains("a " + continuation.trim());
        assertThat(bodyOf(response)).isEqualTo("abc");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 404})
    void responseToHeadRequestHasNoBody(int status) throws Exception {
        ResponseMessage response =
                responseTo("HEAD", "HTTP/1.1 " + status + " Some\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n");
        assertThat(response.status()).isEqualTo(status);
        assertThat(response.body()).isEmpty();
    }
}
