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
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;

/** Servers that cut a response and send another one: the caller gets a whole one that was sent to it, or none. */
class SplicedResponseTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), 0, false, Optional.of("X-Id"));
    private static final String BODY = "who was it that answered";
    private static final String LATE_BODY = "too late";
    private static final int CONCURRENT_CALLS = 40;
    private static final long CLOSE_DELAY_MILLIS = 50;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());
    private final Map<String, Splice> splices = new ConcurrentHashMap<>();

    /** How a response states the end of its body. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    /** A response that is cut, and the whole one that follows it. */
    private record Splice(String id, String first, int cut, String second, long delayMillis, Sent allowed) {}

    /** Status and body of a response that the server sent whole. */
    private record Sent(int status, String body) {}

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static String response(int status, String id, boolean idFirst, Framing framing, String body) {
        String idLine = "X-Id: " + id + "\r\n";
        String framingLine = "";
        String content = body;
        if (framing == Framing.LENGTH) {
            framingLine = "Content-Length: " + body.length() + "\r\n";
        } else if (framing == Framing.CHUNKED) {
            framingLine = "Transfer-Encoding: chunked\r\n";
            content = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
        }
        String reason = status == 200 ? "OK" : "Gateway Timeout";
        String fields =
                idFirst ? idLine + "X-Signature: s\r\n" + framingLine : framingLine + "X-Signature: s\r\n" + idLine;
        return "HTTP/1.1 " + status + " " + reason + "\r\n" + fields + "\r\n" + content;
    }

    private void respond(String head, Socket connection) throws IOException {
        String id = head.replaceAll("(?s).*X-Id: (\\S+).*", "$1");
        Splice splice = splices.get(id);
        OutputStream output = connection.getOutputStream();
        connection.setTcpNoDelay(true);
        output.write(splice.first.substring(0, splice.cut).getBytes(StandardCharsets.ISO_8859_1));
        pause(splice.delayMillis);
        output.write(splice.second.getBytes(StandardCharsets.ISO_8859_1));
        pause(CLOSE_DELAY_MILLIS);
        connection.close();
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private CompletableFuture<CallEnd> call(RawServer server, Splice splice) {
        splices.put(splice.id, splice);
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        RequestMessage request = RequestMessage.get("/x", "host");
        client.call(
                server.address(),
                new RequestMessage("GET", "/x", request.headers().with("X-Id", splice.id), request.body()),
                OPTIONS,
                end::complete);
        return end;
    }

    /** Returns the splices of which the caller got something that the server had not sent whole as its response. */
    private List<String> violations(List<Splice> cases) throws Exception {
        List<String> violations = new ArrayList<>();
        try (RawServer server = new RawServer(this::respond)) {
            for (int start = 0; start < cases.size(); start += CONCURRENT_CALLS) {
                List<Splice> batch = cases.subList(start, Math.min(cases.size(), start + CONCURRENT_CALLS));
                List<CompletableFuture<CallEnd>> ends = new ArrayList<>();
                batch.forEach(splice -> ends.add(call(server, splice)));
                for (int i = 0; i < batch.size(); i++) {
                    CallEnd end = ends.get(i).get(20, TimeUnit.SECONDS);
                    if (end instanceof CallEnd.Answered answered && !isAllowed(batch.get(i), answered)) {
                        violations.add("%s got %s %s"
                                .formatted(batch.get(i), answered.response().status(), bodyOf(answered)));
                    }
                }
            }
        }
        return violations;
    }

    private static String bodyOf(CallEnd.Answered answered) {
        return new String(answered.response().body(), StandardCharsets.ISO_8859_1);
    }

    private static boolean isAllowed(Splice splice, CallEnd.Answered answered) {
        boolean isFirst = splice.cut == splice.first.length()
                && answered.response().status() == statusOf(splice.first)
                && bodyOf(answered).equals(BODY);
        return isFirst || new Sent(answered.response().status(), bodyOf(answered)).equals(splice.allowed);
    }

    private static int statusOf(String response) {
        return Integer.parseInt(response.substring(9, 12));
    }

    /** Returns every cut of a response with a status, followed by a whole one with another status. */
    private List<Splice> cuts(Framing framing, int firstStatus, int secondStatus, boolean isOtherId, long delayMillis) {
        List<Splice> cases = new ArrayList<>();
        for (boolean idFirst : new boolean[] {true, false}) {
            int length = response(firstStatus, "c0000", idFirst, framing, BODY).length();
            for (int cut = 0; cut <= length; cut++) {
                String id = "c%04d".formatted(1000 + cases.size());
                String first = response(firstStatus, id, idFirst, framing, BODY);
                String second = response(secondStatus, isOtherId ? "other" : id, idFirst, Framing.LENGTH, LATE_BODY);
                Sent allowed = isOtherId ? null : new Sent(secondStatus, LATE_BODY);
                cases.add(new Splice(id, first, cut, second, delayMillis, allowed));
            }
        }
        return cases;
    }

    private void assertWholeOrBroken(Framing framing, int firstStatus, int secondStatus) throws Exception {
        List<String> violations = new ArrayList<>();
        for (boolean isOtherId : new boolean[] {false, true}) {
            for (long delayMillis : new long[] {0, 40}) {
                violations.addAll(violations(cuts(framing, firstStatus, secondStatus, isOtherId, delayMillis)));
            }
        }
        assertThat(violations).as("%s cases", violations.size()).isEmpty();
    }

    @Test
    void successWithLengthCutByServerError() throws Exception {
        assertWholeOrBroken(Framing.LENGTH, 200, 504);
    }

    @Test
    void chunkedSuccessCutByServerError() throws Exception {
        assertWholeOrBroken(Framing.CHUNKED, 200, 504);
    }

    @Test
    void closeDelimitedSuccessCutByServerError() throws Exception {
        assertWholeOrBroken(Framing.CLOSE, 200, 504);
    }

    @Test
    void serverErrorWithLengthCutBySuccess() throws Exception {
        assertWholeOrBroken(Framing.LENGTH, 504, 200);
    }

    @Test
    void rejectionWithLengthCutBySuccess() throws Exception {
        assertWholeOrBroken(Framing.LENGTH, 503, 200);
    }

    @Test
    void chunkedRejectionCutBySuccess() throws Exception {
        assertWholeOrBroken(Framing.CHUNKED, 503, 200);
    }

    /** Sends parts of a response, with a pause between them, as the response to one call. */
    private CallEnd callReceiving(long pauseMillis, String... parts) throws Exception {
        try (RawServer server = new RawServer((head, connection) -> {
            connection.setTcpNoDelay(true);
            for (String part : parts) {
                RawServer.sending(part).respond(head, connection);
                pause(pauseMillis);
            }
        })) {
            Splice splice = new Splice("1", "", 0, "", 0, null);
            return call(server, splice).get(20, TimeUnit.SECONDS);
        }
    }

    /** Guards against the same when the body ends within the second head and the rest of it arrives later. */
    @Test
    void restOfSecondHeadAfterTheBodyBreaksCall() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY);
        String second = response(504, "1", true, Framing.LENGTH, LATE_BODY);
        for (int length = 3; length <= BODY.length(); length++) {
            String start = first.substring(0, first.length() - length) + second.substring(0, length);
            CallEnd end = callReceiving(20, start, second.substring(length));
            assertThat(end)
                    .as("%s bytes", length)
                    .isEqualTo(new CallEnd.Broken("response body contains the start of another response"));
        }
        assertThat(client.faults().splicedBodies()).isEqualTo(client.faults().heldBodies());
    }

    @Test
    void bodyThatEndsWithAStatusLineIsDeliveredAfterTheHold() throws Exception {
        String body = "HTTP/1.1 504 Gateway Timeout";
        CallEnd end = callReceiving(0, response(200, "1", true, Framing.LENGTH, body));
        assertThat(bodyOf((CallEnd.Answered) end)).isEqualTo(body);
        assertThat(client.faults().heldBodies()).isEqualTo(1);
    }

    @Test
    void heldBodyIsDeliveredWhenTheServerClosesTheConnection() throws Exception {
        String body = "HTTP/1.1 504 Gateway Timeout";
        splices.put("1", new Splice("1", "", 0, response(200, "1", true, Framing.LENGTH, body), 0, null));
        try (RawServer server = new RawServer(this::respond)) {
            CallEnd end = call(server, splices.get("1")).get(20, TimeUnit.SECONDS);
            assertThat(bodyOf((CallEnd.Answered) end)).isEqualTo(body);
        }
    }

    @Test
    void secondResponseBehindTheBodyIsDropped() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY);
        String second = response(504, "1", true, Framing.LENGTH, LATE_BODY);
        CallEnd end = callReceiving(0, first + second);
        assertThat(bodyOf((CallEnd.Answered) end)).isEqualTo(BODY);
        assertThat(client.faults().bytesAfterResponses()).isEqualTo(1);
    }

    @Test
    void lateCopyOfAnotherResponseIsCounted() throws Exception {
        String copy = response(504, "0", true, Framing.LENGTH, LATE_BODY);
        CallEnd end = callReceiving(0, copy + response(200, "1", true, Framing.LENGTH, BODY));
        assertThat(bodyOf((CallEnd.Answered) end)).isEqualTo(BODY);
        assertThat(client.faults().skippedResponses()).isEqualTo(1);
    }

    /** Guards against a response that ends within the body of a late copy of another one, and is never received. */
    @Test
    void cutCopyOfAnotherResponseBreaksCall() throws Exception {
        String copy = response(504, "0", true, Framing.LENGTH, BODY);
        String own = response(200, "1", true, Framing.LENGTH, BODY);
        for (int cut = copy.length() - BODY.length(); cut < copy.length(); cut++) {
            assertThat(callReceiving(0, copy.substring(0, cut) + own)).isInstanceOf(CallEnd.Broken.class);
        }
    }

    @Test
    void cutHeadIsCounted() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY);
        assertThat(callReceiving(0, first.substring(0, "HTTP/1.1 200 O".length()) + first))
                .isInstanceOf(CallEnd.Broken.class);
        assertThat(client.faults().splicedHeads()).isEqualTo(1);
    }

    @Test
    void copyOnAnIdleConnectionIsCounted() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        String text = response(200, "1", true, Framing.LENGTH, BODY);
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending(text).respond(head, connection);
            pause(100);
            RawServer.sending(text).respond(head, connection);
            closed.complete(connection.getInputStream().read() < 0);
        })) {
            CallEnd end = call(server, new Splice("1", "", 0, "", 0, null)).get(20, TimeUnit.SECONDS);
            assertThat(bodyOf((CallEnd.Answered) end)).isEqualTo(BODY);
            assertThat(closed.get(20, TimeUnit.SECONDS)).isTrue();
            assertThat(client.faults().bytesOutsideCalls()).isEqualTo(1);
        }
    }

    /** Guards against a second response without the echo header that begins within the body and runs past its end. */
    @Test
    void secondResponseWithoutEchoHeaderThatRunsPastTheBodyBreaksCall() throws Exception {
        String body = "a".repeat(200);
        String first = response(200, "1", true, Framing.LENGTH, body);
        String second = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 300\r\n\r\n" + "b".repeat(300);
        assertThat(callReceiving(0, first.substring(0, first.length() - 100) + second))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /** Guards against a sound response that is lost because its server resets the connection during the hold. */
    @Test
    void heldBodyIsDeliveredWhenTheServerResetsTheConnection() throws Exception {
        String body = "HTTP/1.1 504 Gateway Timeout";
        String text = response(200, "1", true, Framing.LENGTH, body);
        try (RawServer server = new RawServer((head, connection) -> {
            RawServer.sending(text).respond(head, connection);
            pause(30);
            connection.setSoLinger(true, 0);
            connection.close();
        })) {
            CallEnd end = call(server, new Splice("1", "", 0, "", 0, null)).get(20, TimeUnit.SECONDS);
            assertThat(end).isInstanceOf(CallEnd.Answered.class);
        }
    }

    /** Guards against a second head that is not recognized because a line before the echo header is folded. */
    @Test
    void secondHeadWithAFoldedLineBreaksCall() throws Exception {
        String body = "a".repeat(200);
        String first = response(200, "1", true, Framing.LENGTH, body);
        String second = "HTTP/1.1 504 Gateway Timeout\r\nX-Note: one\r\n two\r\nX-Id: 1\r\nContent-Length: 300\r\n\r\n"
                + "b".repeat(300);
        assertThat(callReceiving(0, second)).isInstanceOf(CallEnd.Answered.class);
        assertThat(callReceiving(0, first.substring(0, first.length() - 150) + second))
                .isInstanceOf(CallEnd.Broken.class);
    }

    /**
     * Guards against a second head whose echo header is not recognized because of a space before the colon. Such a head
     * is malformed by itself, but within a body the decoder does not see it.
     */
    @Test
    void secondHeadWithASpaceBeforeTheColonBreaksCall() throws Exception {
        String body = "a".repeat(200);
        String first = response(200, "1", true, Framing.LENGTH, body);
        String second = "HTTP/1.1 504 Gateway Timeout\r\nX-Id : 1\r\nContent-Length: 300\r\n\r\n" + "b".repeat(300);
        assertThat(callReceiving(0, second)).isInstanceOf(CallEnd.Broken.class);
        assertThat(callReceiving(0, first.substring(0, first.length() - 150) + second))
                .isEqualTo(new CallEnd.Broken("response body contains the start of another response"));
    }

    /** Guards against a status line with further spaces, which the decoder accepts and the check does not know. */
    @Test
    void secondHeadWithTwoSpacesBeforeTheStatusCodeBreaksCall() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY);
        String second = "HTTP/1.1  504 Gateway Timeout\r\nX-Id: 1\r\nContent-Length: 8\r\n\r\n" + LATE_BODY;
        assertThat(callReceiving(0, second)).isInstanceOf(CallEnd.Answered.class);
        for (int cut = "HTTP/1.1 200 ".length(); cut < first.length(); cut++) {
            CallEnd end = callReceiving(0, first.substring(0, cut) + second);
            assertThat(end).as("cut at %s", cut).isInstanceOf(CallEnd.Broken.class);
        }
    }

    /** Guards against a status line in small letters, which the decoder accepts and the check does not know. */
    @Test
    void secondHeadInSmallLettersBreaksCall() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY);
        String second = "http/1.1 504 Gateway Timeout\r\nX-Id: 1\r\nContent-Length: 8\r\n\r\n" + LATE_BODY;
        assertThat(callReceiving(0, second)).isInstanceOf(CallEnd.Answered.class);
        for (int cut = "HTTP/1.1 200 ".length(); cut < first.length(); cut++) {
            CallEnd end = callReceiving(0, first.substring(0, cut) + second);
            assertThat(end).as("cut at %s", cut).isInstanceOf(CallEnd.Broken.class);
        }
    }

    /** Guards against a response whose trailers are cut by another response. */
    @Test
    void secondResponseWithinTheTrailersBreaksCall() throws Exception {
        String trailers = "X-Checksum: abc\r\n\r\n";
        String chunked = response(200, "1", true, Framing.CHUNKED, BODY);
        String first = chunked.substring(0, chunked.length() - 2) + trailers;
        String second = response(504, "1", true, Framing.LENGTH, LATE_BODY);
        for (int cut = first.length() - trailers.length(); cut < first.length(); cut++) {
            CallEnd end = callReceiving(0, first.substring(0, cut) + second);
            assertThat(end).as("cut at %s", cut).isInstanceOf(CallEnd.Broken.class);
        }
    }

    /** Guards against the first two bytes of a second response at the end of a body, when one read ends behind them. */
    @Test
    void shortStartOfASecondHeadAtTheEndOfAReadBreaksCall() throws Exception {
        String second = response(504, "1", true, Framing.LENGTH, LATE_BODY);
        for (int length = 1; length <= 2; length++) {
            String head = response(200, "1", true, Framing.LENGTH, "a".repeat(1_900));
            String first = response(200, "1", true, Framing.LENGTH, "a".repeat(1_900 + 2_048 - head.length()));
            CallEnd end = callReceiving(0, first.substring(0, first.length() - length) + second);
            assertThat(end).as("%s bytes", length).isInstanceOf(CallEnd.Broken.class);
        }
    }

    /** Guards against a whole response that is broken by a late copy behind a body that ends with a status line. */
    @Test
    void copyBehindABodyThatEndsWithAStatusLineIsDropped() throws Exception {
        String body = "HTTP/1.1 504 Gateway Timeout";
        String first = response(200, "1", true, Framing.LENGTH, body);
        assertThat(callReceiving(0, first + first)).isInstanceOf(CallEnd.Answered.class);
    }

    /** Guards against the same for probes, whose requests and responses bear no identifier. */
    @Test
    void cutResponseToARequestWithoutIdentifierBreaksCall() throws Exception {
        String first = response(200, "1", true, Framing.LENGTH, BODY).replace("X-Id: 1\r\n", "");
        String second = response(503, "1", true, Framing.LENGTH, "").replace("X-Id: 1\r\n", "");
        for (int cut = first.length() - BODY.length(); cut < first.length(); cut++) {
            CompletableFuture<CallEnd> end = new CompletableFuture<>();
            try (RawServer server = new RawServer(RawServer.sending(first.substring(0, cut) + second))) {
                client.call(server.address(), RequestMessage.get("/healthz", "host"), OPTIONS, end::complete);
                assertThat(end.get(20, TimeUnit.SECONDS)).as("cut at %s", cut).isInstanceOf(CallEnd.Broken.class);
            }
        }
    }
}
