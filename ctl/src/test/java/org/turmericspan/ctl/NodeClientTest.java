package org.turmericspan.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ScriptedServer;

/** Guards against a state that is read from a response with a malformed head. */
final class NodeClientTest {
    private static final String STATE = "{\"ready\":true}";

    private static NodeResponse read(String statusLineAndField) throws IOException {
        try (ScriptedServer server = new ScriptedServer();
                NodeClient client = new NodeClient()) {
            server.setResponse(statusLineAndField + "\r\nContent-Length: " + STATE.length() + "\r\n\r\n" + STATE);
            return client.get(server.address(), "/state");
        }
    }

    @Test
    void malformedHeadFailsTheRead() throws IOException {
        for (String head : List.of(
                "HTTP/1.1 000 Odd",
                "HTTP/1.1 999 Odd",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 200 OK\r\nX A: 1",
                "HTTP/1.1 200 OK\r\nX\u0001A: 1")) {
            assertThat(read(head).isSuccess()).as(head).isFalse();
        }
    }

    @Test
    void soundHeadIsRead() throws IOException {
        assertThat(read("HTTP/1.1 200\r\nX-A:1").isSuccess()).isTrue();
    }
}
