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

/** Upstream that writes a scripted response to each request, and then closes the connection or keeps it open. */
final class ScriptedUpstream implements AutoCloseable {
    private static final String ATTEMPT_ID_PREFIX = "turmericspan-attempt-id: ";

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private final UnaryOperator<String> responseByAttemptId;
    private final boolean keepsOpen;

    ScriptedUpstream(UnaryOperator<String> responseByAttemptId) throws IOException {
        this(responseByAttemptId, false);
    }

    /**
     * Starts an upstream.
     *
     * @param responseByAttemptId returns the response to an attempt
     * @param keepsOpen whether the client ends each connection; no other connection is accepted before
     */
    ScriptedUpstream(UnaryOperator<String> responseByAttemptId, boolean keepsOpen) throws IOException {
        this.responseByAttemptId = responseByAttemptId;
        this.keepsOpen = keepsOpen;
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
                respond(socket);
            } catch (IOException e) {
                // The test ended or the client disconnected.
                continue;
            }
        }
    }

    private void respond(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String attemptId = "";
        String line = reader.readLine();
        while (line != null && !line.isEmpty()) {
            if (line.toLowerCase(Locale.ROOT).startsWith(ATTEMPT_ID_PREFIX)) {
                attemptId = line.substring(ATTEMPT_ID_PREFIX.length());
            }
            line = reader.readLine();
        }
        requests.incrementAndGet();
        socket.getOutputStream().write(responseByAttemptId.apply(attemptId).getBytes(StandardCharsets.US_ASCII));
        if (keepsOpen) {
            reader.readLine();
        }
    }
}
