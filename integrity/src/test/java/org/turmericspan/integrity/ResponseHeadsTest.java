package org.turmericspan.integrity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which parts of a head contain a status line. */
class ResponseHeadsTest {
    @Test
    void statusLineWithinALineIsDetected() {
        assertThat(ResponseHeads.containStatusLine("HTTP/1.1 504")).isTrue();
        assertThat(ResponseHeads.containStatusLine("StHTTP/1.0 200 OK")).isTrue();
        assertThat(ResponseHeads.containStatusLine("HHTTP/1.1 HTTP/1.1 200")).isTrue();
    }

    @Test
    void protocolVersionAloneIsNoStatusLine() {
        assertThat(ResponseHeads.containStatusLine("HTTP/1.1 proxy")).isFalse();
        assertThat(ResponseHeads.containStatusLine("HTTP/1.1 50")).isFalse();
        assertThat(ResponseHeads.containStatusLine("HTTP/2.0 200")).isFalse();
        assertThat(ResponseHeads.containStatusLine("")).isFalse();
    }
}
