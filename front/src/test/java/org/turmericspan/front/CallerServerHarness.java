package org.turmericspan.front;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;

/** Caller server on loopback that records the calls it decodes, with a client that sends raw bytes. */
final class CallerServerHarness implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 20_000;

    private final List<CallRequest> calls = new CopyOnWriteArrayList<>();
    private final SocketAddress address = new SocketAddress("127.0.0.1", freePort());
    private final CallerServer server;

    CallerServerHarness() {
        TokenIssuer issuer = new TokenIssuer() {
            @Override
            public Incarnation incarnation() {
                return new Incarnation(1);
            }

            @Override
            public Epoch epoch() {
                return new Epoch(1);
            }
        };
        server = new CallerServer(
                request -> {
                    calls.add(request);
                    return CompletableFuture.completedFuture(
                            new CallResult.Answered(200, List.of(), Payload.wrap(new byte[] {'o', 'k'})));
                },
                service -> Optional.empty(),
                issuer,
                new FakeCatalog(),
                MonotonicClock.system());
        server.start(address);
    }

    List<CallRequest> calls() {
        return calls;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    /** Sends a request unchanged and reads until one response is complete or the server closes the connection. */
    String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return readResponse(socket);
        }
    }

    static String readResponse(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        byte[] chunk = new byte[8_192];
        int count = input.read(chunk);
        while (count > 0) {
            text.append(new String(chunk, 0, count, StandardCharsets.ISO_8859_1));
            if (isComplete(text)) {
                break;
            }
            count = input.read(chunk);
        }
        return text.toString();
    }

    static String head(String line, String... headers) {
        return line + " HTTP/1.1\r\nHost: node\r\nTurmericspan-Office: pressroom\r\nTurmericspan-Caller: mari\r\n"
                + "Turmericspan-Request-Id: r-1\r\n" + String.join("", List.of(headers)) + "\r\n";
    }

    @Override
    public void close() {
        server.close();
    }

    private static boolean isComplete(StringBuilder text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        String lower = text.substring(0, end).toLowerCase(java.util.Locale.ROOT);
        int length = lower.indexOf("content-length: ");
        if (length < 0) {
            return false;
        }
        int lineEnd = lower.indexOf('\r', length);
        String digits = lower.substring(length + "content-length: ".length(), lineEnd < 0 ? lower.length() : lineEnd);
        return text.length() >= end + 4 + Integer.parseInt(digits.strip());
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
