import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Stand-ins of the platform's store, its servers and its requesters, and the entry nodes as processes. */
final class Kit {
    static final String REQUEST_ID = "Turmericspan-Request-Id";
    static final String NOT_EXECUTED = "Turmericspan-Not-Executed";
    static final String SIGNATURE = "Turmericspan-Response-Signature";
    static final String INSTANCE_ID = "Turmericspan-Instance-Id";
    static final String EXPECTED_INSTANCE = "Turmericspan-Expect-Instance";
    static final String DEADLINE = "Turmericspan-Deadline-Ms";
    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_NOT_RUN = 2;

    private static final long START_NANOS = System.nanoTime();

    private Kit() {}

    /** Returns whether the case runs with its disruption. */
    static boolean isDisrupted() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - START_NANOS);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread startThread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A body of a case; returns whether the rule held. */
    interface Body {
        boolean run(Fleet fleet) throws Exception;
    }

    /** Runs a case and ends the process with its exit code; ends all processes that the case started. */
    static void run(String folder, Body body) {
        int code = EXIT_NOT_RUN;
        try (Fleet fleet = new Fleet(Path.of(folder, "record.txt"))) {
            Thread hook = new Thread(fleet::close);
            Runtime.getRuntime().addShutdownHook(hook);
            try {
                fleet.record("disruption: " + (isDisrupted() ? "on" : "off"));
                code = body.run(fleet) ? EXIT_HELD : EXIT_BROKEN;
                fleet.print(code == EXIT_HELD ? "result: the rule held" : "result: the rule was broken");
            } catch (Throwable e) {
                fleet.print("result: the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** The processes, stand-ins and the record of one case. */
    static final class Fleet implements AutoCloseable {
        final Store store;
        final List<Node> nodes = new ArrayList<>();
        final List<Server> servers = new ArrayList<>();
        final Path folder;
        private final PrintWriter record;

        Fleet(Path recordFile) throws IOException {
            record = new PrintWriter(Files.newBufferedWriter(recordFile));
            folder = Files.createTempDirectory("review-case");
            store = new Store();
        }

        synchronized void record(String line) {
            record.println(nowMillis() + " " + line);
        }

        /** Writes a line to the record and to standard output. */
        void print(String line) {
            record(line);
            System.out.println(line);
        }

        Node addNode(int index, String zone, String seeds) throws IOException {
            Node node = new Node(this, index, zone, seeds);
            nodes.add(node);
            return node;
        }

        Server addServer(Server server) throws IOException {
            servers.add(server);
            server.start();
            server.register("ready");
            return server;
        }

        void awaitReady() throws Exception {
            long deadline = nowMillis() + 30_000;
            for (Node node : nodes) {
                while (!node.isReady()) {
                    if (nowMillis() > deadline) {
                        throw new IllegalStateException(node.name + " is not ready");
                    }
                    sleep(100);
                }
                record("ready " + node.name);
            }
        }

        @Override
        public synchronized void close() {
            nodes.forEach(Node::kill);
            servers.forEach(Server::stop);
            store.stop();
            record.close();
            try (var files = Files.walk(folder)) {
                files.sorted((first, second) -> second.compareTo(first)).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                // Already removed by an earlier call.
            }
        }
    }

    /** A message with its headers by lower-case name. */
    static final class Message {
        String startLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection closed within a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; returns null when the connection ends before it. */
    static Message readHead(InputStream input) throws IOException {
        Message message = new Message();
        message.startLine = readLine(input);
        if (message.startLine == null) {
            return null;
        }
        for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message whose body, if any, has a Content-Length; null when there is none. */
    static Message readMessage(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null && message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = input.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("connection closed within a body");
            }
        }
        return message;
    }

    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Accepts connections and serves each on a thread of its own. */
    abstract static class Listener {
        final ServerSocket socket;
        private volatile boolean stopped;
        private final List<Socket> open = new ArrayList<>();

        Listener(String host) throws IOException {
            socket = new ServerSocket(0, 512, InetAddress.getByName(host));
        }

        String address() {
            return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
        }

        void start() {
            startThread("accept-" + address(), () -> {
                while (!stopped) {
                    try {
                        Socket connection = socket.accept();
                        connection.setTcpNoDelay(true);
                        synchronized (open) {
                            open.add(connection);
                        }
                        startThread("serve-" + address(), () -> serveQuietly(connection));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        private void serveQuietly(Socket connection) {
            try (connection) {
                serve(connection);
            } catch (IOException e) {
                // The other side closed the connection.
            } finally {
                synchronized (open) {
                    open.remove(connection);
                }
            }
        }

        abstract void serve(Socket connection) throws IOException;

        void stop() {
            stopped = true;
            try {
                socket.close();
                synchronized (open) {
                    for (Socket connection : new ArrayList<>(open)) {
                        connection.close();
                    }
                }
            } catch (IOException e) {
                // Nothing else to release.
            }
        }
    }

    /** The platform's store: linearizable, with ranges and watches, and an unlimited history. */
    static final class Store extends Listener {
        private record Item(String value, long revision) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private long revision = 1;
        private final Map<String, Long> readsByHost = new ConcurrentHashMap<>();

        Store() throws IOException {
            super("127.0.0.1");
            start();
        }

        /** Writes an item, or removes it when the value is null; returns when the store has accepted it. */
        synchronized void put(String key, String value) {
            items.put(key, new Item(value, ++revision));
            notifyAll();
        }

        /** Returns the number of reads by the address of the reader. */
        Map<String, Long> readsByHost() {
            return readsByHost;
        }

        @Override
        void serve(Socket connection) throws IOException {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            for (Message request = readMessage(input); request != null; request = readMessage(input)) {
                readsByHost.merge(connection.getInetAddress().getHostAddress(), 1L, Long::sum);
                String target = request.startLine.split(" ")[1];
                String body = target.startsWith("/api/kv-watch")
                        ? watch(Long.parseLong(parameter(target, "after")), Long.parseLong(parameter(target, "WaitMs")))
                        : page("items", 0);
                connection
                        .getOutputStream()
                        .write(response(
                                200,
                                Map.of("Content-Type", "application/json"),
                                body.getBytes(StandardCharsets.UTF_8)));
            }
        }

        private synchronized String watch(long after, long waitMillis) {
            long deadline = nowMillis() + waitMillis;
            while (revision <= after && nowMillis() < deadline) {
                try {
                    wait(Math.max(1, deadline - nowMillis()));
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            return page("events", after);
        }

        private synchronized String page(String kind, long after) {
            boolean isEvents = kind.equals("events");
            StringBuilder rows = new StringBuilder();
            items.entrySet().stream()
                    .filter(entry -> !isEvents || entry.getValue().revision > after)
                    .filter(entry -> isEvents || entry.getValue().value != null)
                    .sorted((first, second) ->
                            isEvents ? Long.compare(first.getValue().revision, second.getValue().revision) : 0)
                    .forEach(entry -> rows.append(rows.length() == 0 ? "" : ",").append(row(entry)));
            return "{\"" + kind + "\":[" + rows + "],\"StoreRevision\":" + revision + ",\"Truncated\":false}";
        }

        private static String row(Map.Entry<String, Item> entry) {
            String start = "{\"Key\":\"" + entry.getKey() + "\",\"Revision\":" + entry.getValue().revision;
            return entry.getValue().value == null
                    ? start + ",\"Deleted\":true}"
                    : start + ",\"Created\":" + entry.getValue().revision + ",\"Lease\":0,\"Value\":\""
                            + Base64.getEncoder()
                                    .encodeToString(entry.getValue().value.getBytes(StandardCharsets.UTF_8))
                            + "\"}";
        }

        private static String parameter(String target, String name) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return "0";
        }
    }

    /** A route of the configuration. */
    static String route(String name, String prefix, String type, String service, double timeoutSeconds,
            double targetSeconds, int priority) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"Prefix\":\"" + prefix + "\",\"Type\":\"" + type
                + "\",\"TimeoutS\":" + timeoutSeconds + ",\"TargetLatencyS\":" + targetSeconds + ",\"Priority\":"
                + priority + ",\"Service\":\"" + service + "\",\"MaxAttempts\":2}";
    }

    /** A configuration with the limits that the pages show. */
    static String configuration(long version, List<String> routes, List<String> services) {
        StringBuilder specs = new StringBuilder();
        for (String service : services) {
            specs.append(specs.length() == 0 ? "" : ",")
                    .append("{\"Name\":\"" + service + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":260,"
                            + "\"Protocol\":\"h1\",\"Tls\":false,\"WarmupS\":3.0,\"WarmupPerS\":15.0}");
        }
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":[" + specs
                + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,"
                + "\"IdleTimeoutS\":15},\"BaseVersion\":" + (version - 1) + "}";
    }

    /** A sound server of one service. It registers itself in the store and counts what it runs. */
    static class Server extends Listener {
        final Fleet fleet;
        final String id;
        final String service;
        final String zone;
        final int slots;
        final int maxQueued;
        final boolean reportsLoad;
        final Map<String, Integer> runsById = new ConcurrentHashMap<>();
        volatile long workMillis = 100;
        volatile String registeredAddress;
        private int running;
        private int waiting;

        Server(Fleet fleet, String id, String service, String zone, int slots, int maxQueued, boolean reportsLoad)
                throws IOException {
            super("127.0.0.1");
            this.fleet = fleet;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.slots = slots;
            this.maxQueued = maxQueued;
            this.reportsLoad = reportsLoad;
            this.registeredAddress = address();
        }

        void register(String state) {
            fleet.store.put(
                    "servers/" + id,
                    "{\"Service\":\"" + service + "\",\"Address\":\"" + registeredAddress + "\",\"Zone\":\"" + zone
                            + "\",\"Version\":\"v1\",\"Capacity\":" + slots + ",\"State\":\"" + state
                            + "\",\"WarmupLeftS\":0,\"Sequence\":1,\"born\":1700000000000}");
        }

        void unregister() {
            fleet.store.put("servers/" + id, null);
        }

        synchronized Map<String, String> headers(String requestId) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Keep-Alive", "timeout=10");
            if (requestId != null) {
                headers.put(REQUEST_ID, requestId);
            }
            if (reportsLoad) {
                headers.put("Turmericspan-Server-Load", running + "," + waiting + "," + slots + ",100");
            }
            return headers;
        }

        /** Waits for a slot; returns false when the queue is full or the time has passed. */
        synchronized boolean acquire(long waitMillis) {
            if (running < slots) {
                running++;
                return true;
            }
            if (waiting >= maxQueued) {
                return false;
            }
            waiting++;
            long deadline = nowMillis() + waitMillis;
            try {
                while (running >= slots && nowMillis() < deadline) {
                    wait(Math.max(1, deadline - nowMillis()));
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            } finally {
                waiting--;
            }
            if (running >= slots) {
                return false;
            }
            running++;
            return true;
        }

        synchronized void release() {
            running--;
            notifyAll();
        }

        @Override
        void serve(Socket connection) throws IOException {
            InputStream input = new BufferedInputStream(connection.getInputStream());
            OutputStream output = connection.getOutputStream();
            for (Message request = readMessage(input); request != null; request = readMessage(input)) {
                beforeAnswer(connection, request, output);
                output.write(answer(connection, request));
                output.flush();
            }
        }

        /** Called when a request was read and nothing of its answer was sent. */
        void beforeAnswer(Socket connection, Message request, OutputStream output) throws IOException {}

        byte[] answer(Socket connection, Message request) throws IOException {
            return request.startLine.startsWith("GET /healthz ") ? health(connection) : run(connection, request);
        }

        byte[] health(Socket connection) {
            if (!reportsLoad) {
                if (!acquire(300)) {
                    Map<String, String> headers = headers(null);
                    headers.put(INSTANCE_ID, id);
                    headers.put(NOT_EXECUTED, "1");
                    return response(503, headers, new byte[0]);
                }
                release();
            }
            Map<String, String> headers = headers(null);
            headers.put(INSTANCE_ID, id);
            return response(200, headers, new byte[0]);
        }

        byte[] run(Socket connection, Message request) throws IOException {
            String requestId = request.header(REQUEST_ID);
            String expected = request.header(EXPECTED_INSTANCE);
            Map<String, String> headers = headers(requestId);
            if (expected != null && !expected.equals(id)) {
                headers.put(INSTANCE_ID, id);
                headers.put(NOT_EXECUTED, "1");
                return response(421, headers, new byte[0]);
            }
            String deadline = request.header(DEADLINE);
            if (!acquire(deadline == null ? 1_000 : (long) Double.parseDouble(deadline))) {
                headers.put(NOT_EXECUTED, "1");
                fleet.record(id + " rejects " + requestId);
                return response(503, headers, new byte[0]);
            }
            try {
                runsById.merge(requestId, 1, Integer::sum);
                fleet.record(id + " runs " + requestId + " " + request.startLine);
                sleep(workMillis);
            } finally {
                release();
            }
            headers = headers(requestId);
            headers.put(SIGNATURE, "3e1b.07.5a2." + id);
            return response(200, headers, ("done by " + id + " " + requestId).getBytes(StandardCharsets.UTF_8));
        }
    }

    /** An entry node that runs as a process with the command and the settings of the deploy file. */
    static final class Node {
        final Fleet fleet;
        final String name;
        final String host;
        final String zone;
        final Path settings;
        final Path log;
        private final Map<String, String> values = new LinkedHashMap<>();
        private static final int BASE_PORT = freeBasePort();
        private Process process;

        Node(Fleet fleet, int index, String zone, String seeds) throws IOException {
            this.fleet = fleet;
            this.zone = zone;
            name = "node-" + index;
            host = "127.0.0." + (10 + index);
            settings = fleet.folder.resolve(name + ".properties");
            log = fleet.folder.resolve(name + ".log");
            values.put("Node", name);
            values.put("Zone", zone);
            values.put("Ip", host);
            values.put("Listen.Front", host + ":" + (BASE_PORT + 1));
            values.put("Listen.Ready", host + ":" + (BASE_PORT + 2));
            values.put("Listen.Directory", host + ":" + (BASE_PORT + 3));
            values.put("PortRange.0", Integer.toString(BASE_PORT));
            values.put("Seeds", seeds);
            values.put("Provider.Address", fleet.store.address());
            values.put("Bounds.WarmupOverage", "1.5");
            values.put("Bounds.WarmupSlack", "5");
            values.put("Bounds.RetryRatio", "0.2");
            values.put("Bounds.RetrySlack", "64");
            values.put("Bounds.RetryWindowS", "10");
            values.put("Bounds.GraceS", "6");
            values.put("Bounds.ttl_max_s", "5");
            values.put("Bounds.ProbesPerS", "60");
            writeSettings();
        }

        /** Returns a port from which on the next few are free on the addresses of all nodes. */
        private static int freeBasePort() {
            for (int i = 0; i < 2_000; i++) {
                int base = 10_000 + (int) ((ProcessHandle.current().pid() + i) % 2_000) * 8;
                if (isFree(base)) {
                    return base;
                }
            }
            throw new IllegalStateException("no free ports");
        }

        private static boolean isFree(int base) {
            for (int host = 10; host < 18; host++) {
                for (int port = base; port < base + 6; port++) {
                    try (ServerSocket probe =
                            new ServerSocket(port, 1, InetAddress.getByName("127.0.0." + host))) {
                        probe.setReuseAddress(true);
                    } catch (IOException e) {
                        return false;
                    }
                }
            }
            return true;
        }

        static String seed(int index) {
            return "127.0.0." + (10 + index) + ":" + (BASE_PORT + 4);
        }

        void setStore(String address) throws IOException {
            values.put("Provider.Address", address);
            writeSettings();
        }

        private void writeSettings() throws IOException {
            String text = Files.readString(Path.of("deploy", "entry.properties"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            text = text.replaceAll("metrics-address=.*", "metrics-address=" + host + ":" + (BASE_PORT + 5));
            if (text.contains("{{")) {
                throw new IllegalStateException("the template has a placeholder that the case does not know");
            }
            Files.writeString(settings, text);
        }

        Node start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring("run = \"".length(), line.lastIndexOf('"'));
                }
            }
            ProcessBuilder builder = new ProcessBuilder(run.split(" "))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().put("TURMERICSPAN_SETTINGS_FILE", settings.toString());
            process = builder.start();
            fleet.record("start " + name + " pid " + process.pid());
            return this;
        }

        String front() {
            return values.get("Listen.Front");
        }

        long pid() {
            return process.pid();
        }

        boolean isAlive() {
            return process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        boolean awaitExit(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        void signal(String signal) throws Exception {
            fleet.record("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }

        boolean isReady() {
            try {
                return get(values.get("Listen.Ready"), "/api/readyz").status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns the response of the directory. */
        String resolve(String callerZone) throws IOException {
            Message response = get(
                    values.get("Listen.Directory"), "/api/resolve?Name=shop.example&Region=r&Zone=" + callerZone);
            return response.status() == 200 ? new String(response.body, StandardCharsets.UTF_8) : "";
        }

        String state() throws IOException {
            return new String(get(host + ":" + (BASE_PORT + 5), "/state").body, StandardCharsets.UTF_8);
        }

        private static Message get(String address, String target) throws IOException {
            try (Socket socket = connect(address, 1_000)) {
                socket.setSoTimeout(2_000);
                socket.getOutputStream()
                        .write(("GET " + target + " HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                Message message = readMessage(new BufferedInputStream(socket.getInputStream()));
                if (message == null) {
                    throw new EOFException("no response");
                }
                return message;
            }
        }
    }

    static Socket connect(String address, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    timeoutMillis);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        socket.setTcpNoDelay(true);
        return socket;
    }

    /**
     * What a requester saw of one attempt.
     *
     * @param status the status; 0 without a complete response
     * @param failure why there is no complete response
     * @param isWholeRequestSent whether all bytes of the request were sent
     */
    record Outcome(int status, Message response, String failure, boolean isWholeRequestSent) {}

    /** A requester with one kept connection to one node. */
    static final class Requester implements AutoCloseable {
        private final Fleet fleet;
        private Socket socket;
        private InputStream input;

        Requester(Fleet fleet) {
            this.fleet = fleet;
        }

        /** Sends one attempt and reads its response, on a new connection if none is open. */
        Outcome send(String address, String method, String path, String requestId, long budgetMillis, byte[] body) {
            boolean isSent = false;
            try {
                if (socket == null) {
                    socket = connect(address, 1_000);
                    input = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) budgetMillis + 1_500);
                fleet.record("send " + method + " " + path + " " + requestId + " to " + address);
                String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + REQUEST_ID + ": " + requestId
                        + "\r\n" + DEADLINE + ": " + budgetMillis + "\r\n"
                        + (body.length > 0 || !"GET".equals(method) ? "Content-Length: " + body.length + "\r\n" : "")
                        + "\r\n";
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
                bytes.writeBytes(body);
                socket.getOutputStream().write(bytes.toByteArray());
                isSent = true;
                Message response = readMessage(input);
                if (response == null) {
                    throw new EOFException("connection closed without a response");
                }
                fleet.record("answer " + response.status() + " to " + requestId);
                if ("close".equalsIgnoreCase(response.header("Connection"))) {
                    close();
                }
                return new Outcome(response.status(), response, "", true);
            } catch (IOException e) {
                close();
                String failure = e instanceof SocketTimeoutException ? "no response in time" : e.toString();
                fleet.record("no answer to " + requestId + ": " + failure);
                return new Outcome(0, null, failure, isSent);
            }
        }

        @Override
        public void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // Nothing else to release.
                }
                socket = null;
            }
        }
    }
}
