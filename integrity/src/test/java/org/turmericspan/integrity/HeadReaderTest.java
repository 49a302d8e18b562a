package org.turmericspan.integrity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HeadReaderTest {
    private static HeadReader read(String head) {
        HeadReader reader = new HeadReader();
        for (byte next : head.getBytes(StandardCharsets.ISO_8859_1)) {
            reader.accept(next);
        }
        return reader;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.0 200\r\nX-A:1\r\n\r\n",
                "HTTP/1.1 599 \r\nX-A: a: b\r\n\r\n",
                "HTTP/1.1 200 OK\nX-A: 1\n\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
            })
    void soundHeadIsReadToItsEnd(String head) {
        assertThat(read(head).isMalformed()).isFalse();
        assertThat(read(head).isComplete()).isTrue();
        assertThat(read(head.substring(0, head.length() - 1)).isComplete()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "HTTP/1.1 000 Odd\r\n",
                "HTTP/1.1 600 Odd\r\n",
                "HTTP/1.1 0200 OK\r\n",
                "HTTP/1.1 2000 OK\r\n",
                "HTTP/1.1 20\r\n",
                "HTTP/1.1 200OK\r\n",
                "HTTP/1.1  200 OK\r\n",
                "HTTP/2.0 200 OK\r\n",
                "ICY 200 OK\r\n",
                "HTTP/1.1 101 Switching Protocols\r\n",
                "HTTP/1.1 200 OK\r\nX A: 1\r\n",
                "HTTP/1.1 200 OK\r\nX-A : 1\r\n",
                "HTTP/1.1 200 OK\r\nX\u0000A: 1\r\n",
                "HTTP/1.1 200 OK\r\n: 1\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\n",
                "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n",
                "HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n",
                "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 Odd\r\n"
            })
    void malformedLineIsNoticedAtItsEnd(String head) {
        assertThat(read(head.substring(0, head.length() - 1)).isMalformed()).isFalse();
        assertThat(read(head).isMalformed()).isTrue();
    }

    /** Lines of any length are read with bounded memory; a name that exceeds it is none. */
    @ParameterizedTest
    @ValueSource(ints = {100, 100_000})
    void longLinesAreRead(int length) {
        String text = "a".repeat(length);
        assertThat(read("HTTP/1.1 200 " + text + "\r\nX-A: " + text + "\r\n\r\n")
                        .isComplete())
                .isTrue();
        assertThat(read("HTTP/1.1 200 OK\r\n" + text + ": 1\r\n").isMalformed()).isEqualTo(length > 4_096);
    }
}
