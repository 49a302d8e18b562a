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

/** Server that answers each request head with the bytes that a script gives it. */
final class RawServer implements AutoCloseable {
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();

    /** What the server does with one request. */
    @FunctionalInterface
    interface Script {
        /**
         * Answers a request.
         *
         * @param head the request head
         * @param connection where to answer
         * @throws IOException when the connection ends
         */
        void answer(String head, Socket connection) throws IOException;
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
                    script.answer(head.toString(), connection);
                    head.setLength(0);
                }
            }
        } catch (IOException e) {
            // The client has gone, which ends this connection's script.
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
