import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/** Kills a node that starts again at once, and sends large orders on the connections that requesters opened then. */
final class OldLimits extends Case {
    private static final int REQUESTERS = 24;
    /** Between the limit that a node has before it has read a configuration, and that of the configuration. */
    private static final int LARGE_BODY = 2_000_000;
    private static final String[] HOSTS = {"127.51.0.1", "127.51.0.2"};

    private int requests;
    private int denied;

    public static void main(String[] arguments) throws Exception {
        run(new OldLimits(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        String storeHost = "127.53.0.1";
        int port = Wire.freePorts(10, HOSTS[0], HOSTS[1], storeHost);
        Store store = started(new Store(storeHost, port));
        Server[] servers = new Server[HOSTS.length];
        for (int i = 0; i < HOSTS.length; i++) {
            servers[i] = started(new Server(
                    store, (server, request) -> note("arrival " + request.header("Turmericspan-Request-Id") + " at "
                            + server.id + ", body of " + request.body().length),
                    "orders", "zone-a", HOSTS[i], port + 8, 20));
            servers[i].start("i-" + i, 0);
        }
        store.put(
                "op/config",
                configuration(7, List.of(route("r-orders", "/orders/", "unsafe", "orders", 1)), List.of(service("orders"))));
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < HOSTS.length; i++) {
            Node node = started(new Node(
                    "front-a-" + (i + 1), "zone-a", HOSTS[i], port + 1, HOSTS[0] + ":" + (port + 1 + Node.CONTROL),
                    storeHost + ":" + port, "zone-a", folder));
            node.start();
            nodes.add(node);
        }
        for (Node node : nodes) {
            node.awaitReady(20_000);
        }
        Server.sleep(2_000);
        Node node = nodes.get(0);
        List<Requester> requesters = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            requesters.add(started(new Requester(node)));
        }
        say(requesters.size() + " requesters send small orders, each on a connection that it keeps");
        for (int round = 0; round < 3; round++) {
            sendFromAll(requesters, 1_000);
            Server.sleep(1_000);
        }
        if (trouble) {
            say(node.name + " is killed and starts again");
            node.kill();
            // The orders that are due find their connections reset, and the next ones open new connections.
            sendFromAll(requesters, 1_000);
            node.start();
        }
        for (int round = 0; round < 8; round++) {
            sendFromAll(requesters, 1_000);
            Server.sleep(1_000);
        }
        say("orders of " + LARGE_BODY + " bytes, later than ContactS (3 s) after the start");
        for (Requester requester : requesters) {
            requester.send(LARGE_BODY);
        }
        double allowed = 5 + requests / 500.0;
        say("ended with a 4xx of a node: " + denied + " of " + requests + " requests, allowed " + allowed);
        return denied <= allowed;
    }

    private void sendFromAll(List<Requester> requesters, int bodyBytes) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(requesters.size());
        for (Requester requester : requesters) {
            Wire.thread(() -> {
                requester.send(bodyBytes);
                ended.countDown();
            });
            Server.sleep(5);
        }
        ended.await();
    }

    private synchronized void record(String id, int bodyBytes, Wire.Message answer) {
        int status = answer == null ? 0 : answer.status();
        note("answer " + id + ", body of " + bodyBytes + ": " + status);
        requests++;
        boolean isOwn = answer != null && answer.header("Turmericspan-Response-Signature").isEmpty();
        boolean isExcepted = status == 408 || status == 421 || status == 429;
        denied += isOwn && status >= 300 && status < 500 && !isExcepted ? 1 : 0;
    }

    /** Keeps its connection, and opens another one when it was closed. */
    private final class Requester implements AutoCloseable {
        private final Node node;
        private Wire wire;

        Requester(Node node) {
            this.node = node;
        }

        void send(int bodyBytes) {
            String id = nextRequestId();
            Wire.Message answer = null;
            try {
                connect();
                answer = wire.call(
                        "POST",
                        "/orders/new",
                        Wire.headers(
                                "Host", "shop.example", "Turmericspan-Request-Id", id,
                                "Turmericspan-Deadline-Ms", "1000"),
                        "x".repeat(bodyBytes));
            } catch (IOException e) {
                note("connection failed: " + e.getMessage());
            }
            record(id, bodyBytes, answer);
            if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                close();
                wire = null;
            }
        }

        private void connect() throws IOException {
            long untilNanos = System.nanoTime() + 3_000_000_000L;
            while (wire == null) {
                try {
                    wire = Wire.connect(node.host, node.port(Node.FRONT), 1_000);
                    wire.timeout(2_000);
                } catch (IOException e) {
                    if (System.nanoTime() > untilNanos) {
                        throw e;
                    }
                    Server.sleep(20);
                }
            }
        }

        @Override
        public void close() {
            if (wire != null) {
                wire.reset();
            }
        }
    }
}
