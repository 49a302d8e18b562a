import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a server: slots and a short queue, load and warm-up in its answers, its entry in the store. */
class Server implements AutoCloseable {
    static final int SLOTS = 3;
    static final int QUEUE = 6;
    private static final long REPORT_MILLIS = 1_500;

    /** Receives what happens at servers. */
    interface Observer {
        void arrived(Server server, Wire.Message request);

        default void ran(Server server, Wire.Message request) {}
    }

    final String service;
    final String zone;
    final String host;
    final int port;
    private final Store store;
    private final Observer observer;
    private final long workMillis;
    private final Set<Wire> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket socket;
    volatile String id;
    private volatile long bornMillis;
    private volatile long coldUntilNanos;
    private volatile int sequence;
    private int running;
    private int waiting;

    Server(Store store, Observer observer, String service, String zone, String host, int port, long workMillis) {
        this.store = store;
        this.observer = observer;
        this.service = service;
        this.zone = zone;
        this.host = host;
        this.port = port;
        this.workMillis = workMillis;
    }

    /** Starts an incarnation, which is cold for some time if it starts during traffic. */
    synchronized void start(String newId, long coldMillis) throws IOException {
        id = newId;
        bornMillis = System.currentTimeMillis();
        coldUntilNanos = System.nanoTime() + coldMillis * 1_000_000;
        sequence = 0;
        running = 0;
        waiting = 0;
        ServerSocket listener = new ServerSocket(port, 256, InetAddress.getByName(host));
        socket = listener;
        Wire.acceptAll(listener, this::serve);
        Wire.thread(() -> reportUntilClosed(listener));
    }

    private void reportUntilClosed(ServerSocket listener) {
        while (!listener.isClosed()) {
            report("ready");
            sleep(REPORT_MILLIS);
        }
    }

    void report(String state) {
        store.put(
                "servers/" + id,
                "{\"Service\":\"" + service + "\",\"Address\":\"" + host + ":" + port + "\",\"Zone\":\"" + zone
                        + "\",\"Version\":\"v1\",\"Capacity\":" + SLOTS + ",\"State\":\"" + state
                        + "\",\"WarmupLeftS\":" + coldLeftMillis() / 1_000.0 + ",\"Sequence\":" + ++sequence
                        + ",\"born\":" + bornMillis + "}");
    }

    long coldLeftMillis() {
        return Math.max(0, (coldUntilNanos - System.nanoTime()) / 1_000_000);
    }

    boolean isCold() {
        return coldLeftMillis() > 0;
    }

    /** Ends the process: no port, all connections reset. */
    void crash() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        connections.forEach(Wire::reset);
        connections.clear();
    }

    boolean isUp() {
        return !socket.isClosed();
    }

    private void serve(Wire wire) throws IOException {
        String servedId = id;
        connections.add(wire);
        try {
            for (Wire.Message request = wire.read(); request != null; request = wire.read()) {
                if (request.target().equals("/healthz")) {
                    wire.respond(
                            200,
                            "",
                            "Turmericspan-Instance-Id: " + servedId,
                            "Turmericspan-Warmup-Ms: " + coldLeftMillis(),
                            load());
                } else {
                    serve(wire, servedId, request);
                }
            }
        } finally {
            connections.remove(wire);
        }
    }

    private void serve(Wire wire, String servedId, Wire.Message request) throws IOException {
        String echo = "Turmericspan-Request-Id: " + request.header("Turmericspan-Request-Id");
        String expected = request.header("Turmericspan-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(servedId)) {
            wire.respond(421, "", echo, "Turmericspan-Instance-Id: " + servedId);
            return;
        }
        observer.arrived(this, request);
        if (!enter()) {
            wire.respond(503, "", echo, "Turmericspan-Not-Executed: 1", load());
            return;
        }
        try {
            run(wire, request, echo);
        } finally {
            leave();
        }
    }

    /** Runs a request that has a slot. */
    void run(Wire wire, Wire.Message request, String echo) throws IOException {
        observer.ran(this, request);
        sleep(isCold() ? 2 * workMillis : workMillis);
        wire.respond(200, "done", echo, "Turmericspan-Response-Signature: 3e1b.07.4.600.0.c9f2a4d1", load());
    }

    private synchronized boolean enter() {
        if (running >= SLOTS && waiting >= QUEUE) {
            return false;
        }
        waiting++;
        while (running >= SLOTS) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        waiting--;
        running++;
        return true;
    }

    private synchronized void leave() {
        running = Math.max(0, running - 1);
        notifyAll();
    }

    private synchronized String load() {
        return "Turmericspan-Server-Load: " + running + "," + waiting + "," + SLOTS + ",100";
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        crash();
    }
}
