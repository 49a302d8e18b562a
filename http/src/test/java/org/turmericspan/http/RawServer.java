package org.turmericspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/** Plain socket server whose script decides the bytes sent for each request head. */
final class RawServer implements AutoCloseable {
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();

    /** Reaction of the server to one request. */
    @FunctionalInterface
    interface Script {
        /**
         * Responds to a request.
         *
         * @param head the request head
         * @param connection the socket to respond on
         * @throws IOException if the connection was closed
         */
        void respond(String head, Socket connection) throws IOException;
    }

    RawServer(Script script) throws IOException {
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.execute(() -> accept(script));
    }

    static Script sending(String text) {
        return (head, connection) -> connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void accept(Script script) {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                threads.execute(() -> serve(script, connection));
            }
        } catch (IOException e) {
            threads.shutdownNow();
        }
    }

    private static void serve(Script script, Socket connection) {
        try (connection) {
            InputStream input = connection.getInputStream();
            StringBuilder head = new StringBuilder();
            for (int next = input.read(); next >= 0; next = input.read()) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    script.respond(head.toString(), connection);
                    head.setLength(0);
                }
            }
        } catch (IOException e) {
            // The client disconnected, which ends the script of this connection.
            return;
        }
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
