package org.turmericspan.heads;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.List;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ScriptedServer;

/** Reads scripted responses with a client that has the interceptor and is otherwise as the library makes it. */
class StrictHeadsTest {
    private static final String REST = "Content-Length: 2\r\n\r\nok";

    private final OkHttpClient client =
            new OkHttpClient.Builder().addNetworkInterceptor(new StrictHeads()).build();

    @AfterEach
    void close() {
        client.connectionPool().evictAll();
    }

    private String bodyOf(ScriptedServer server, String sent) throws IOException {
        server.setResponse(sent);
        Request request =
                new Request.Builder().url("http://" + server.address() + "/").build();
        try (Response received = client.newCall(request).execute()) {
            return received.body().string();
        }
    }

    @Test
    void malformedHeadFailsTheCallAfterOneRequest() throws IOException {
        List<String> heads = List.of(
                "HTTP/1.1 000 Odd\r\n",
                "HTTP/1.1 099 Odd\r\n",
                "HTTP/1.1 600 Odd\r\n",
                "HTTP/1.1 999 Odd\r\n",
                "HTTP/1.1 200 OK\r\nX A: 1\r\n",
                "HTTP/1.1 200 OK\r\nX-A\t: 1\r\n",
                "HTTP/1.1 200 OK\r\nX\u0001A: 1\r\n",
                "HTTP/1.1 200 OK\r\nno colon\r\n");
        try (ScriptedServer server = new ScriptedServer()) {
            for (String head : heads) {
                assertThatThrownBy(() -> bodyOf(server, head + REST)).as(head).isInstanceOf(ProtocolException.class);
            }
            assertThat(server.requests()).isEqualTo(heads.size());
        }
    }

    @Test
    void soundHeadIsRead() throws IOException {
        try (ScriptedServer server = new ScriptedServer()) {
            assertThat(bodyOf(server, "HTTP/1.1 200\r\nx-A_1: 1\r\n" + REST)).isEqualTo("ok");
            assertThat(bodyOf(server, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 599 Odd\r\n" + REST))
                    .isEqualTo("ok");
        }
    }
}
