package org.turmericspan.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.ids.SocketAddress;

/**
 * A server that runs each request and answers it with a malformed head, and a moment later with a whole response for
 * the same request. It keeps the connections open.
 */
final class BrokenHeadServer implements AutoCloseable {
    private static final String REQUEST_ID = "Turmericspan-Request-Id: ";
    private static final String SIGNATURE = "Turmericspan-Response-Signature: s\r\n";
    private static final String NOT_EXECUTED = "Turmericspan-Not-Executed: 1\r\n";
    private static final long FOLLOWING_DELAY_MILLIS = 20;

    /** First lines of the malformed responses, up to the identifier of the request. */
    private static final List<String> HEADS = List.of(
            "HTTP/1.1 000 Odd\r\n",
            "HTTP/1.1 000 Odd\r\n" + NOT_EXECUTED,
            "HTTP/1.1 099 Odd\r\n",
            "HTTP/1.1 600 Odd\r\n",
            "HTTP/1.1 999 Odd\r\n" + NOT_EXECUTED,
            "HTTP/1.1 0200 OK\r\n",
            "HTTP/1.1 00503 Odd\r\n",
            "HTTP/1.1 429000 Odd\r\n",
            "HTTP/1.1 200 OK\r\nX A: 1\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length X: 1\r\n",
            "HTTP/1.1 200 OK\r\nTurmericspan-Not-Executed : 1\r\n",
            "HTTP/1.1 503 Full\r\nTurmericspan-Not-Executed X: 1\r\n",
            "HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + "X\u0001A: 1\r\n");

    private static final String TRAILER = "X A: 1\r\n";

    private final String id;
    private final ServerSocket socket;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger responses = new AtomicInteger();
    private final AtomicInteger healthChecks = new AtomicInteger();
    private volatile String healthStatusLine = "HTTP/1.1 200 OK";
    private volatile Optional<String> loadReport = Optional.empty();

    BrokenHeadServer(String id) throws IOException {
        this.id = id;
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

    int healthChecks() {
        return healthChecks.get();
    }

    /** Sets the first line of the responses to health checks, which are well-formed otherwise. */
    void setHealthStatusLine(String statusLine) {
        healthStatusLine = statusLine;
    }

    /** Makes all further responses to requests whole ones, with a report of the load. */
    void respondWithLoad(String report) {
        loadReport = Optional.of(report);
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
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
                    healthChecks.incrementAndGet();
                    send(connection.getOutputStream(), healthResponse());
                } else {
                    runs.merge(requestId, 1, Integer::sum);
                    respond(connection.getOutputStream(), requestId);
                }
            }
        } catch (IOException e) {
            // The node closed the connection.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void respond(OutputStream output, String requestId) throws IOException, InterruptedException {
        Optional<String> load = loadReport;
        if (load.isPresent()) {
            send(
                    output,
                    "HTTP/1.1 200 OK\r\nTurmericspan-Server-Load: " + load.get() + "\r\n" + REQUEST_ID + requestId
                            + "\r\n" + SIGNATURE + "Content-Length: 4\r\n\r\ndone");
            return;
        }
        int number = responses.getAndIncrement();
        int kind = number % (HEADS.size() + 1);
        String echo = REQUEST_ID + requestId + "\r\n";
        String chunked = echo + SIGNATURE + "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n";
        send(
                output,
                kind == HEADS.size()
                        ? "HTTP/1.1 200 OK\r\n" + chunked + TRAILER + "\r\n"
                        : HEADS.get(kind) + echo + SIGNATURE + "Content-Length: 3\r\n\r\nodd");
        TimeUnit.MILLISECONDS.sleep(FOLLOWING_DELAY_MILLIS);
        int round = number / (HEADS.size() + 1);
        if (round % 3 == 1) {
            send(output, "HTTP/1.1 503 Full\r\n" + NOT_EXECUTED + echo + SIGNATURE + "Content-Length: 0\r\n\r\n");
        } else if (round % 3 == 2) {
            send(output, "HTTP/1.1 200 OK\r\n" + echo + SIGNATURE + "Content-Length: 4\r\n\r\nlate");
        }
    }

    private String healthResponse() {
        return healthStatusLine + "\r\nTurmericspan-Instance-Id: " + id
                + "\r\nTurmericspan-Server-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n";
    }

    private static void send(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
        threads.shutdownNow();
    }
}
