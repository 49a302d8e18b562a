package org.turmericspan.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/** A server that stops within its responses, one byte later each time, and then closes or resets the connection. */
final class CutServer implements AutoCloseable {
    private static final String ID_HEADER = "turmericspan-request-id: ";

    private final String id;
    private final Kind kind;
    private final boolean resets;
    private final int firstLength;
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger cuts = new AtomicInteger();

    /** Which responses are cut. */
    enum Kind {
        HEALTH_CHECKS,
        REQUESTS
    }

    /**
     * Starts a server.
     *
     * @param id identifier of the instance
     * @param kind which responses are cut
     * @param resets whether the connection is reset instead of closed
     * @param firstLength how many bytes of the first response that is cut are sent
     */
    CutServer(String id, Kind kind, boolean resets, int firstLength) throws IOException {
        this.id = id;
        this.kind = kind;
        this.resets = resets;
        this.firstLength = firstLength;
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
    }

    String id() {
        return id;
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    /** Returns how many requests arrived, without health checks. */
    int requests() {
        return requests.get();
    }

    /** Returns how many responses were cut. */
    int cuts() {
        return cuts.get();
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
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                boolean isHealthCheck = line.startsWith("GET /healthz ");
                String requestId = "-";
                while (!line.isEmpty()) {
                    line = reader.readLine();
                    if (line.toLowerCase(Locale.ROOT).startsWith(ID_HEADER)) {
                        requestId = line.substring(ID_HEADER.length());
                    }
                }
                if (!isHealthCheck) {
                    requests.incrementAndGet();
                }
                String response = isHealthCheck ? healthResponse() : response(requestId);
                if (isHealthCheck == (kind == Kind.HEALTH_CHECKS)) {
                    response = response.substring(0, (firstLength + cuts.getAndIncrement()) % response.length());
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                    connection.setSoLinger(resets, 0);
                    return;
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The client closed the connection, which ends the response.
            return;
        }
    }

    private String healthResponse() {
        return "HTTP/1.1 200 OK\r\nTurmericspan-Instance-Id: " + id
                + "\r\nTurmericspan-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n";
    }

    private String response(String requestId) {
        return "HTTP/1.1 200 OK\r\nTurmericspan-Instance-Id: " + id + "\r\nTurmericspan-Request-Id: " + requestId
                + "\r\nTurmericspan-Response-Signature: s\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
