package org.turmericspan.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/** A server that passes its health check, and cuts each successful response by a whole one with status 504. */
final class SplicingServer implements AutoCloseable {
    /** Body of the successful response. */
    static final String BODY = "who was it that answered";

    private static final String REQUEST_ID = "Turmericspan-Request-Id: ";

    private final String id;
    private final long delayMillis;
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger cuts = new AtomicInteger();

    SplicingServer(String id, long delayMillis) throws IOException {
        this.id = id;
        this.delayMillis = delayMillis;
        socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        threads.execute(this::accept);
    }

    String id() {
        return id;
    }

    SocketAddress address() {
        return new SocketAddress("127.0.0.1", socket.getLocalPort());
    }

    /** Returns the number of executions by request identifier. */
    Map<String, Integer> runs() {
        return runs;
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
                String requestId = "";
                int length = 0;
                while (!line.isEmpty()) {
                    line = reader.readLine();
                    if (line.regionMatches(true, 0, REQUEST_ID, 0, REQUEST_ID.length())) {
                        requestId = line.substring(REQUEST_ID.length());
                    } else if (line.regionMatches(true, 0, "Content-Length: ", 0, "Content-Length: ".length())) {
                        length = Integer.parseInt(line.substring("Content-Length: ".length()));
                    }
                }
                for (int i = 0; i < length; i++) {
                    reader.read();
                }
                if (isHealthCheck) {
                    output.write(response(200, "", ""));
                } else {
                    runs.merge(requestId, 1, Integer::sum);
                    splice(output, requestId);
                }
            }
        } catch (IOException e) {
            // The node closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void splice(OutputStream output, String requestId) throws IOException, InterruptedException {
        byte[] first = response(200, requestId, BODY);
        int cut = first.length - BODY.length() + cuts.getAndIncrement() % BODY.length();
        output.write(first, 0, cut);
        TimeUnit.MILLISECONDS.sleep(delayMillis);
        output.write(response(504, requestId, "too late"));
    }

    private byte[] response(int status, String requestId, String body) {
        String echo = requestId.isEmpty() ? "" : REQUEST_ID + requestId + "\r\n";
        return ("HTTP/1.1 " + status + (status == 200 ? " OK" : " Gateway Timeout") + "\r\nTurmericspan-Instance-Id: "
                        + id + "\r\nTurmericspan-Server-Load: 0,0,3,100\r\nTurmericspan-Response-Signature: " + id
                        + "\r\n" + echo + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
