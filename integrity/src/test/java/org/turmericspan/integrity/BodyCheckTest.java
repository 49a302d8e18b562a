package org.turmericspan.integrity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests which bodies count as formed by two responses. */
class BodyCheckTest {
    private static final Optional<String> ECHO_HEADER = Optional.of("X-Id");
    private static final String SECOND =
            "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 8\r\nX-Id: 1\r\nX-Signature: s\r\n\r\ntoo late";
    private static final int STATUS_LINE_LENGTH = "HTTP/1.1 504".length();
    private static final int MAX_SHORT_PREFIX = 2;

    /** Bodies that servers may send and that speak of HTTP. */
    private static final List<String> SOUND_BODIES = List.of(
            "HTTP",
            "HTTP/1.1",
            "served over HTTP/1.",
            "HTTP/1.1 504",
            "HTTP/1.1 504 Gateway Timeout",
            "HTTP/1.1 504 Gateway Timeout\r\n",
            "HTTP/1.1 200 OK\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\nContent-Type: text/plain\n\nok",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 404 Not Found\r\n\r\n",
            "10.0.0.1 - \"GET /x HTTP/1.1\" 200 512\n10.0.0.2 - \"GET /y HTTP/1.0\" 504 0\n",
            "GET /x HTTP/1.1 200 512 12ms\n2026-12-05 GET /y HTTP/1.1 504 0 1101ms\n",
            "{\"error\":\"upstream said HTTP/1.1 504 Gateway Timeout\",\"X-Id\":\"1\"}",
            "{\"raw\":\"HTTP/1.1 200 OK\\r\\nX-Id: 1\\r\\n\\r\\n\"}",
            "<h1>Status lines</h1><pre>HTTP/1.1 200 OK\r\nDate: today\r\n\r\n</pre><p>X-Id: none</p>",
            "> GET / HTTP/1.1\r\n> X-Id: 1\r\n< HTTP/1.1 200 OK\r\n< X-Id: 1\r\n",
            "GET / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n",
            "POST / HTTP/1.0\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/2 200\r\nX-Id: 1\r\n\r\n",
            "HTTP/2.0 200 OK\r\nX-Id: 1\r\n\r\n",
            "HTTP/1.1 2xx OK\r\nX-Id: 1\r\n\r\n",
            "HTTP/1.1 2000 OK\r\nX-Id: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nthe server then sent:\r\nX-Id: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nX-Id: 1\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\u0001\u0002X-Id: 1\r\n",
            "http/1.1 200 ok\r\nx-other-id: 1\r\n\r\n",
            "X-Id: 1\r\nHTTP/1.1 200 OK\r\n\r\n",
            "HHTTHTTPHTTP/HTTP/1HTTP/1.x",
            "HTTP/1.1 200 OK\r\nX-Id-Other: 1\r\nOther-X-Id: 1\r\n\r\n");

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static BodyCheck check(String body) {
        return new BodyCheck(bytes(body), ECHO_HEADER);
    }

    private static boolean isBroken(String body, String following) {
        BodyCheck check = check(body);
        return check.verdict() == BodyVerdict.SPLICED || check.isContinuedBy(bytes(following));
    }

    @Test
    void soundBodiesThatSpeakOfHttpPass() {
        assertThat(SOUND_BODIES).hasSizeGreaterThanOrEqualTo(20);
        for (String body : SOUND_BODIES) {
            assertThat(isBroken(body, "")).as(body).isFalse();
            assertThat(isBroken(body + ".", "")).as(body).isFalse();
        }
    }

    @Test
    void headWithEchoHeaderInBodyIsSpliced() {
        assertThat(check("who" + SECOND).verdict()).isEqualTo(BodyVerdict.SPLICED);
        assertThat(check(SECOND.replace("X-Id", "x-iD")).verdict()).isEqualTo(BodyVerdict.SPLICED);
        assertThat(check("http/1.1 200 ok\r\nx-id: 1\r\n\r\n").verdict()).isEqualTo(BodyVerdict.SPLICED);
        assertThat(check("HTTP/1.1 200 OK\r\n\r\n" + SECOND).verdict()).isEqualTo(BodyVerdict.SPLICED);
        assertThat(check("HTTP/1.1 200 OK\r\n" + SECOND).verdict()).isEqualTo(BodyVerdict.SPLICED);
        assertThat(check("HTTP/1.1 20HTTP/1.0 503\nX-Id: 2").verdict()).isEqualTo(BodyVerdict.SPLICED);
    }

    /** Guards against a success with the first bytes of a server error as the end of its body. */
    @Test
    void secondResponseThatRunsPastTheBodyIsDetectedAtEveryPosition() {
        for (int length = 1; length <= SECOND.length(); length++) {
            String body = "who" + SECOND.substring(0, length);
            for (int end = length + 1; end <= SECOND.length(); end++) {
                assertThat(isBroken(body, SECOND.substring(length, end)))
                        .as("%s + %s", body, end - length)
                        .isTrue();
            }
        }
    }

    /** Guards against a cut second head whose last line the start of a third response continues. */
    @Test
    void thirdResponseThatRunsPastTheBodyIsDetectedAtEveryCut() {
        for (int cut = 1; cut <= SECOND.length(); cut++) {
            String body = "who" + SECOND.substring(0, cut);
            for (int length = 1; length <= STATUS_LINE_LENGTH; length++) {
                assertThat(isBroken(body + SECOND.substring(0, length), SECOND.substring(length)))
                        .as("%s + %s", body, length)
                        .isTrue();
            }
        }
    }

    @Test
    void bodyThatEndsWithinAHeadIsHeld() {
        int untilEchoHeader = SECOND.indexOf("X-Id:") + "X-Id:".length();
        for (int length = 1; length < untilEchoHeader; length++) {
            BodyVerdict expected =
                    length <= MAX_SHORT_PREFIX ? BodyVerdict.ENDS_IN_SHORT_PREFIX : BodyVerdict.ENDS_IN_HEAD;
            assertThat(check("who" + SECOND.substring(0, length)).verdict()).isEqualTo(expected);
        }
    }

    @Test
    void bytesThatBeginBehindTheBodyAreNoPartOfIt() {
        for (String body : List.of("", "ok", "HTTP/1.1 200 OK\r\n\r\n", "H", "HTTP/1.1", "HTTP/1.1 504")) {
            assertThat(isBroken(body, SECOND)).as(body).isFalse();
        }
    }

    @Test
    void withoutEchoHeaderOnlyBytesBehindTheBodyDecide() {
        BodyCheck whole = new BodyCheck(bytes("who" + SECOND), Optional.empty());
        assertThat(whole.verdict()).isEqualTo(BodyVerdict.SOUND);
        BodyCheck cut = new BodyCheck(bytes("whoHTTP/1.1 504 Gat"), Optional.empty());
        assertThat(cut.isContinuedBy(bytes("eway Timeout\r\nContent-Length: 0\r\n\r\n")))
                .isTrue();
    }

    /** A status line within each line of a body must not make the check read the rest of the body each time. */
    @Test
    void costGrowsWithTheBodyOnly() {
        String line = "HTTP/1.1 200 ".repeat(500_000);
        assertThat(check(line + "\u0001").verdict()).isEqualTo(BodyVerdict.SOUND);
        byte[] lines = new byte[4_000_000];
        Arrays.fill(lines, (byte) 'H');
        assertThat(new BodyCheck(lines, ECHO_HEADER).verdict()).isEqualTo(BodyVerdict.ENDS_IN_SHORT_PREFIX);
        assertThat(check("HTTP/1.1 200 OK\r\n".repeat(200_000) + "-\r\n").verdict())
                .isEqualTo(BodyVerdict.SOUND);
    }

    /** Guards against a second head that is skipped since a status line was mentioned up to 64 KiB before it. */
    @Test
    void secondHeadAcrossTheLimitOfAnEarlierOneIsSpliced() {
        for (int distance = 65_400; distance <= 65_600; distance++) {
            String body = "HTTP/1.1 200 " + "a".repeat(distance) + SECOND;
            assertThat(check(body).verdict()).as("%s bytes before", distance).isEqualTo(BodyVerdict.SPLICED);
        }
    }
}
