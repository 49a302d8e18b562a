package org.turmericspan.entry;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;

/** A caller that keeps its connection, sends bodies slowly or requests ahead, and records how each request ended. */
final class PersistentCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final String CHUNK = "4\r\nbody\r\n";

    private final SocketAddress node;
    private final String ownHeaders;
    private Socket socket;
    private PushbackInputStream input;
    private OutputStream output;

    /**
     * A request and its end.
     *
     * @param id identifier of the request
     * @param complete whether all bytes of the request were sent before its connection ended
     * @param status status of the response, or 0 if the connection ended without a complete response
     * @param sentNanos time at which the last byte was sent
     * @param endNanos time at which the response was complete, or the connection ended
     * @param answeredId request id that the response echoed; empty if there is none
     */
    record Exchange(String id, boolean complete, int status, long sentNanos, long endNanos, String answeredId) {
        boolean isUnanswered() {
            return complete && status == 0;
        }

        long millisUntilEnd() {
            return TimeUnit.NANOSECONDS.toMillis(endNanos - sentNanos);
        }
    }

    /**
     * A request that is sent before the responses to those before it.
     *
     * @param id identifier of the request
     * @param idempotent whether it is sent to the route whose requests may be repeated
     */
    record AheadRequest(String id, boolean idempotent) {
        String text() {
            return idempotent
                    ? "GET /safe/" + id + commonHeaders(id) + "\r\n"
                    : "POST /once/" + id + commonHeaders(id) + "Content-Length: 4\r\n\r\nbody";
        }
    }

    /** Status and echoed request id of a response. */
    private record Answer(int status, String id) {}

    PersistentCaller(SocketAddress node) {
        this(node, "");
    }

    /** Creates a caller that sends further header lines, each with its end of line. */
    PersistentCaller(SocketAddress node, String ownHeaders) {
        this.node = node;
        this.ownHeaders = ownHeaders;
    }

    /** Sends a request without a body. */
    Exchange get(String path, String id) {
        return exchange("GET " + path + headers(id) + "\r\n", "", 0, 0);
    }

    /** Sends a request with its body in two chunks. Waits after the head and before the last chunk. */
    Exchange postChunks(String path, String id, long headPauseMillis, long chunkPauseMillis) {
        String head = "POST " + path + headers(id) + "Transfer-Encoding: chunked\r\n\r\n";
        return exchange(head, CHUNK, headPauseMillis, chunkPauseMillis);
    }

    private String headers(String id) {
        return commonHeaders(id) + ownHeaders;
    }

    private static String commonHeaders(String id) {
        return " HTTP/1.1\r\nHost: h.example\r\nTurmericspan-Request-Id: " + id
                + "\r\nTurmericspan-Deadline-Ms: 1500\r\n";
    }

    private Exchange exchange(String head, String chunk, long headPauseMillis, long chunkPauseMillis) {
        boolean complete = false;
        long sentNanos = System.nanoTime();
        Answer answer = new Answer(0, "");
        try {
            connect();
            send(head);
            if (!chunk.isEmpty()) {
                awaitNoInput(headPauseMillis);
                send(chunk);
                awaitNoInput(chunkPauseMillis);
                send(chunk + "0\r\n\r\n");
            }
            complete = true;
            sentNanos = System.nanoTime();
            answer = readResponse();
        } catch (IOException e) {
            close();
        }
        return new Exchange(id(head), complete, answer.status(), sentNanos, System.nanoTime(), answer.id());
    }

    /** Sends requests at once, and then reads their responses, up to one that closes the connection. */
    List<Exchange> sendAhead(List<AheadRequest> requests) {
        StringBuilder text = new StringBuilder();
        requests.forEach(request -> text.append(request.text()));
        List<Exchange> exchanges = new ArrayList<>();
        boolean complete = false;
        long sentNanos = System.nanoTime();
        try {
            connect();
            send(text.toString());
            complete = true;
            sentNanos = System.nanoTime();
            while (socket != null && exchanges.size() < requests.size()) {
                Answer answer = readResponse();
                String id = requests.get(exchanges.size()).id();
                exchanges.add(new Exchange(id, true, answer.status(), sentNanos, System.nanoTime(), answer.id()));
            }
        } catch (IOException e) {
            close();
        }
        while (exchanges.size() < requests.size()) {
            String id = requests.get(exchanges.size()).id();
            exchanges.add(new Exchange(id, complete, 0, sentNanos, System.nanoTime(), ""));
        }
        return exchanges;
    }

    private static String id(String head) {
        String name = "Request-Id: ";
        int start = head.indexOf(name) + name.length();
        return head.substring(start, head.indexOf('\r', start));
    }

    private void connect() throws IOException {
        if (socket == null) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(node.host(), node.port()), TIMEOUT_MILLIS);
            input = new PushbackInputStream(socket.getInputStream());
            output = new BufferedOutputStream(socket.getOutputStream());
        }
    }

    private void send(String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    /** Waits, and fails if the connection ends or a response begins meanwhile. */
    private void awaitNoInput(long millis) throws IOException {
        if (millis == 0) {
            return;
        }
        socket.setSoTimeout((int) millis);
        try {
            int next = input.read();
            throw new IOException(next < 0 ? "connection closed" : "response before the end of the request");
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
        }
    }

    private Answer readResponse() throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        String statusLine = readLine();
        int length = 0;
        boolean close = false;
        String id = "";
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String lowerCase = line.toLowerCase(Locale.ROOT);
            if (lowerCase.startsWith("content-length:")) {
                length = Integer.parseInt(
                        lowerCase.substring(lowerCase.indexOf(':') + 1).trim());
            }
            close |= lowerCase.equals("connection: close");
            if (lowerCase.startsWith("turmericspan-request-id:")) {
                id = line.substring(line.indexOf(':') + 1).trim();
            }
        }
        if (input.readNBytes(length).length < length) {
            throw new IOException("response not complete");
        }
        if (close) {
            close();
        }
        return new Answer(Integer.parseInt(statusLine.split(" ")[1]), id);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("connection closed");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } finally {
                socket = null;
            }
        }
    }
}
