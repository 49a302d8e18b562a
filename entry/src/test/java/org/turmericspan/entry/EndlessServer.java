package org.turmericspan.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/** A server that passes its health check, and responds to requests with bytes to no end until the client closes. */
final class EndlessServer implements AutoCloseable {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final String id;
    private final Kind kind;
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger endlessResponses = new AtomicInteger();

    /** Where a response has no end. */
    enum Kind {
        HEAD(OK, "X-Y: z\r\n".repeat(100)),
        BODY(OK + "Content-Length: 1000000000\r\n\r\n", "y".repeat(100_000)),
        CHUNKS(OK + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "y".repeat(1_000) + "\r\n"),
        NO_RESPONSE("", "\r\n".repeat(500));

        private final byte[] start;
        private final byte[] part;

        Kind(String start, String part) {
            this.start = start.getBytes(StandardCharsets.UTF_8);
            this.part = part.getBytes(StandardCharsets.UTF_8);
        }
    }

    EndlessServer(String id, Kind kind) throws IOException {
        this.id = id;
        this.kind = kind;
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
    }

    String id() {
        return id;
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    /** Returns how many responses without end were begun. */
    int endlessResponses() {
        return endlessResponses.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                threads.execute(() -> serve(connection));
            }
        } catch (IOException e) {
            threads.shutdownNow();
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
            OutputStream output = connection.getOutputStream();
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                boolean isHealthCheck = line.startsWith("GET /healthz ");
                while (!line.isEmpty()) {
                    line = reader.readLine();
                }
                if (isHealthCheck) {
                    output.write(healthResponse());
                } else {
                    endlessResponses.incrementAndGet();
                    output.write(kind.start);
                    sendForever(output);
                }
            }
        } catch (IOException e) {
            // The client closed the connection, which ends the response.
            return;
        }
    }

    private void sendForever(OutputStream output) throws IOException {
        while (true) {
            output.write(kind.part);
        }
    }

    private byte[] healthResponse() {
        return (OK + "Turmericspan-Instance-Id: " + id + "\r\nTurmericspan-Server-Load: 0,0,3,100\r\n"
                        + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
