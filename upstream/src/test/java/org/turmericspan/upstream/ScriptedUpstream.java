package org.turmericspan.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.turmericspan.ids.SocketAddress;

/** Upstream that answers every request with the same bytes and then closes the connection. */
final class ScriptedUpstream implements AutoCloseable {
    private static final String ATTEMPT_PREFIX = "turmericspan-attempt-id: ";

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final UnaryOperator<String> answerByAttempt;

    ScriptedUpstream(UnaryOperator<String> answerByAttempt) throws IOException {
        this.answerByAttempt = answerByAttempt;
        Thread thread = new Thread(this::serve, "scripted-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", server.getLocalPort());
    }

    int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                answer(socket);
            } catch (IOException e) {
                // The test has ended or the client has gone.
                continue;
            }
        }
    }

    private void answer(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String attempt = "";
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            if (line.toLowerCase(Locale.ROOT).startsWith(ATTEMPT_PREFIX)) {
                attempt = line.substring(ATTEMPT_PREFIX.length());
            }
            line = reader.readLine();
        }
        requests.incrementAndGet();
        socket.getOutputStream().write(answerByAttempt.apply(attempt).getBytes(StandardCharsets.US_ASCII));
    }
}
