import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 connection, of a stand-in that serves or that calls. */
final class Wire implements AutoCloseable {
    /** A request or a response. Header names are compared without case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Serves one connection. */
    interface Service {
        void serve(Wire wire) throws IOException;
    }

    private final Socket socket;
    private final InputStream input;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static Wire connect(String host, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host, port), timeoutMillis);
        return new Wire(socket);
    }

    /** Accepts connections until the socket is closed, each on a thread of its own. */
    static void acceptAll(ServerSocket listener, Service service) {
        thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket accepted = listener.accept();
                    thread(() -> {
                        try (Wire wire = new Wire(accepted)) {
                            service.serve(wire);
                        } catch (IOException e) {
                            // The peer or a fault of the test has closed the connection.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static String parameter(String target, String name) {
        int query = target.indexOf('?');
        if (query >= 0) {
            for (String pair : target.substring(query + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
        }
        return "";
    }

    void timeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    /** Reads a message with a length or without a body; returns null at the end of the connection. */
    Message read() throws IOException {
        String startLine = line();
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection ended within a body");
        }
        return new Message(startLine, headers, body);
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return bytes.size() == 0 ? null : "";
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    void respond(int status, String body, String... headers) throws IOException {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (String header : headers) {
            text.append(header).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
        write(text.toString());
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Sends a request and reads the response; null if the connection ended instead. */
    Message call(String method, String target, Map<String, String> headers, String body) throws IOException {
        StringBuilder text = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (!body.isEmpty()) {
            text.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        write(text + "\r\n" + body);
        return read();
    }

    static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.put(namesAndValues[i], namesAndValues[i + 1]);
        }
        return headers;
    }

    /** Resets the connection. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Returns a range of ports, each of which is free on each of the addresses. */
    static int freePorts(int count, String... hosts) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int first = 20_000 + (int) (Math.random() * 10_000);
            if (areFree(first, count, hosts)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first, int count, String... hosts) {
        for (String host : hosts) {
            for (int port = first; port < first + count; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                    socket.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }
}
