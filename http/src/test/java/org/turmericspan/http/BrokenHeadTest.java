package org.turmericspan.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;

/** Servers whose response has a malformed head or trailers: the call is broken at once, whatever follows. */
class BrokenHeadTest {
    private static final CallOptions OPTIONS =
            new CallOptions(TimeUnit.SECONDS.toNanos(5), 0, false, Optional.of("X-Id"));
    private static final String NOT_EXECUTED = "Not-Executed: 1\r\n";
    private static final String BODY = "abc";
    private static final long FOLLOWING_DELAY_MILLIS = 20;
    /** A call that has not ended by then waits for its deadline: nothing more happens on its connection. */
    private static final long AT_ONCE_MILLIS = 10_000;

    private static final int CONCURRENT_CALLS = 40;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), MonotonicClock.system());
    private final Map<String, Case> cases = new ConcurrentHashMap<>();

    /** What follows the broken response on its connection, a short time later. */
    private enum Following {
        NOTHING(""),
        REJECTION("HTTP/1.1 503 Full\r\nX-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
        SUCCESS("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nok");

        private final String text;

        Following(String text) {
            this.text = text;
        }
    }

    private record Case(String response, Following following, boolean isClosed) {}

    @AfterEach
    void stopWorkers() {
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void respond(String head, Socket connection) throws IOException {
        String id = head.replaceAll("(?s).*X-Id: (\\S+).*", "$1");
        Case test = cases.get(id);
        connection.setTcpNoDelay(true);
        send(test.response.replace("%s", id), connection);
        if (test.following != Following.NOTHING) {
            try {
                TimeUnit.MILLISECONDS.sleep(FOLLOWING_DELAY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            send(test.following.text.replace("%s", id), connection);
        }
        if (test.isClosed) {
            connection.close();
        }
    }

    private static void send(String text, Socket connection) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private CompletableFuture<CallEnd> call(RawServer server, String id, Case test) {
        cases.put(id, test);
        CompletableFuture<CallEnd> end = new CompletableFuture<>();
        RequestMessage request = RequestMessage.get("/x", "host");
        client.call(
                server.address(),
                new RequestMessage("GET", "/x", request.headers().with("X-Id", id), request.body()),
                OPTIONS,
                end::complete);
        return end.completeOnTimeout(new CallEnd.NotSent("still waits"), AT_ONCE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sends each response with each ending of its connection, and returns what did not break the call. */
    private List<String> violations(Map<String, String> responses) throws Exception {
        List<String> names = new ArrayList<>();
        List<Case> tests = new ArrayList<>();
        responses.forEach((name, response) -> {
            for (Following following : Following.values()) {
                for (boolean isClosed : new boolean[] {false, true}) {
                    names.add("%s, then %s%s".formatted(name, following, isClosed ? ", closed" : ""));
                    tests.add(new Case(response, following, isClosed));
                }
            }
        });
        List<String> violations = new ArrayList<>();
        try (RawServer server = new RawServer(this::respond)) {
            for (int start = 0; start < tests.size(); start += CONCURRENT_CALLS) {
                List<CompletableFuture<CallEnd>> ends = new ArrayList<>();
                for (int i = start; i < Math.min(tests.size(), start + CONCURRENT_CALLS); i++) {
                    ends.add(call(server, "c" + i, tests.get(i)));
                }
                for (int i = 0; i < ends.size(); i++) {
                    CallEnd end = ends.get(i).get(2 * AT_ONCE_MILLIS, TimeUnit.MILLISECONDS);
                    if (!(end instanceof CallEnd.Broken)) {
                        violations.add(names.get(start + i) + ": " + describe(end));
                    }
                }
            }
        }
        return violations;
    }

    private static String describe(CallEnd end) {
        if (end instanceof CallEnd.Answered answered) {
            return answered.response().status() + " " + answered.response().headers();
        }
        return end.toString();
    }

    private void assertBroken(Map<String, String> responses) throws Exception {
        List<String> violations = violations(responses);
        assertThat(violations).as("%s cases", violations.size()).isEmpty();
    }

    private static Map<String, String> responsesWithStatusLine(List<String> statusLines) {
        Map<String, String> responses = new LinkedHashMap<>();
        for (String statusLine : statusLines) {
            for (String fields : List.of("X-Id: %s\r\n", "", "X-Id: %s\r\n" + NOT_EXECUTED)) {
                String head = statusLine + "\r\n" + fields;
                String name = statusLine
                        + (fields.isEmpty() ? " without identifier" : "")
                        + (fields.endsWith(NOT_EXECUTED) ? " with proof" : "");
                responses.put(name + ", length", head + "Content-Length: 3\r\n\r\n" + BODY);
                responses.put(name + ", chunked", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
                responses.put(name + ", bare", head + "\r\n");
            }
        }
        return responses;
    }

    /** Guards against a response whose status the protocol does not know, and against the one that follows it. */
    @Test
    void statusOutsideOfTheProtocolBreaksCall() throws Exception {
        List<String> statusLines = new ArrayList<>();
        for (String status : List.of("000", "001", "050", "099", "600", "799", "999")) {
            statusLines.add("HTTP/1.1 " + status + " Odd");
        }
        assertBroken(responsesWithStatusLine(statusLines));
    }

    /** Guards against a status that the number of its digits hides. */
    @Test
    void statusWithoutThreeDigitsBreaksCall() throws Exception {
        List<String> statusLines = new ArrayList<>();
        for (String status : List.of(
                "0",
                "5",
                "20",
                "50",
                "0200",
                "0503",
                "00503",
                "000503",
                "1000",
                "2000",
                "2001",
                "429000",
                "+20",
                "-20",
                "+200",
                "2x0",
                "0x1",
                "20\u00b2",
                "")) {
            statusLines.add("HTTP/1.1 " + status + " Odd");
        }
        assertBroken(responsesWithStatusLine(statusLines));
    }

    /** Guards against a switch of protocols that was not requested, behind which bytes are no responses. */
    @Test
    void unrequestedSwitchOfProtocolsBreaksCall() throws Exception {
        assertBroken(responsesWithStatusLine(List.of("HTTP/1.1 101 Switching Protocols")));
    }

    /** Guards against an informational response whose body is taken for the next message. */
    @Test
    void informationalResponseWithBodyBreaksCall() throws Exception {
        Map<String, String> responses = new LinkedHashMap<>();
        for (String status : List.of("100", "102", "103", "199")) {
            String head = "HTTP/1.1 " + status + " Odd\r\n";
            for (String body :
                    List.of("abc", "   ", "\r\n\r", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n")) {
                responses.put(
                        status + " with length and " + printable(body),
                        head + "Content-Length: " + body.replace("%s", "c000").length() + "\r\n\r\n" + body);
            }
            responses.put(status + " chunked", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        }
        assertBroken(responses);
    }

    /** Returns field lines with a name that holds a blank, a control byte or another byte that no name has. */
    private static List<String> malformedLines() {
        List<String> lines = new ArrayList<>(List.of(
                "X A: 1",
                "X\tA: 1",
                "X-A : 1",
                "X-A\t: 1",
                "X-A  \t: 1",
                "Not-Executed : 1",
                "Not-Executed X: 1",
                "Signature X: other",
                "Content-Length : 3",
                "Content-Length X: 3",
                "Transfer-Encoding : chunked",
                "X-Id : %s",
                ": 1",
                "nocolon",
                "no colon",
                "X(A): 1",
                "X\u00e4: 1"));
        for (char control = 0; control < 0x20; control++) {
            // A line feed ends the line, and a tab stands above. Both parts of the line would be well-formed.
            if (control != '\n' && control != '\t') {
                lines.add("X" + control + "A: 1");
                lines.add("X-A" + control + ": 1");
            }
        }
        lines.add("X\u007fA: 1");
        lines.add("X-A\u007f: 1");
        return lines;
    }

    private static String printable(String line) {
        StringBuilder text = new StringBuilder();
        for (char next : line.toCharArray()) {
            text.append(next > ' ' && next <= '~' ? next : "<%02x>".formatted((int) next));
        }
        return text.toString();
    }

    /** Guards against a line that is taken under the part of its name before a blank. */
    @Test
    void malformedNameInHeadBreaksCall() throws Exception {
        Map<String, String> responses = new LinkedHashMap<>();
        for (String line : malformedLines()) {
            for (int status : new int[] {103, 200, 503}) {
                String proof = status == 503 ? NOT_EXECUTED : "";
                String end = status < 200 ? "\r\n" : "Content-Length: 3\r\n\r\nabc";
                String statusLine = "HTTP/1.1 " + status + " Some\r\n";
                String name = status + " " + printable(line);
                responses.put(name + ", last", statusLine + "X-Id: %s\r\n" + proof + line + "\r\n" + end);
                responses.put(name + ", first", statusLine + line + "\r\n" + proof + "X-Id: %s\r\n" + end);
            }
        }
        assertBroken(responses);
    }

    @Test
    void blankBeforeFirstFieldBreaksCall() throws Exception {
        assertBroken(Map.of(
                "blank", "HTTP/1.1 200 OK\r\n X-A: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
                "tab", "HTTP/1.1 200 OK\r\n\tX-A: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"));
    }

    @Test
    void malformedNameInTrailersBreaksCall() throws Exception {
        Map<String, String> responses = new LinkedHashMap<>();
        for (String line : malformedLines()) {
            String head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
            responses.put(printable(line), head + line + "\r\n\r\n");
            responses.put(printable(line) + " behind another", head + "X-B: 1\r\n" + line + "\r\n\r\n");
        }
        assertBroken(responses);
    }

    /** The end of the line decides, not the end of the head. */
    @Test
    void headThatStopsBehindMalformedLineBreaksCall() throws Exception {
        assertBroken(Map.of(
                "status line", "HTTP/1.1 000 Odd\r\n",
                "field", "HTTP/1.1 200 OK\r\nX A: 1\r\n",
                "trailer", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: 1\r\n"));
    }
}
