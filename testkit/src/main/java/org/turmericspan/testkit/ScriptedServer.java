package org.turmericspan.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/** HTTP server that writes a scripted text after each request without a body, and then closes the connection. */
public final class ScriptedServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final AtomicInteger requests = new AtomicInteger();
    private volatile String response = "";

    /**
     * Starts the server on a free port.
     *
     * @throws IOException if it cannot listen
     */
    public ScriptedServer() throws IOException {
        Thread thread = new Thread(this::serve, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Sets the bytes that the server writes from now on.
     *
     * @param text the bytes, one for each character
     */
    public void setResponse(String text) {
        response = text;
    }

    /**
     * Returns where the server listens.
     *
     * @return the address
     */
    public SocketAddress address() {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    /**
     * Counts the requests that were read.
     *
     * @return the count
     */
    public int requests() {
        return requests.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private void serve() {
        while (!socket.isClosed()) {
            try (Socket connection = socket.accept()) {
                BufferedReader reader = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
                for (String line = reader.readLine(); line != null && !line.isEmpty(); ) {
                    line = reader.readLine();
                }
                requests.incrementAndGet();
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The test ended or the client disconnected.
                continue;
            }
        }
    }
}
