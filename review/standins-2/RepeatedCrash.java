import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Sends a request that crashes its server again and again, to a service whose servers come back under their Id. */
final class RepeatedCrash extends Case {
    private static final String[] HOSTS = {"127.61.0.1", "127.61.0.2", "127.61.0.3"};
    private static final int SERVERS = 2;
    private static final long DOWN_MILLIS = 3_000;
    private static final String POISON = "/orders/poison";
    private static final double CONTACT_S = 3;

    private final List<Double> crashes = new ArrayList<>();
    private double thirdCrash = Double.MAX_VALUE;
    private int lostOrders;
    private final List<String> lateRetries = new ArrayList<>();

    public static void main(String[] arguments) throws Exception {
        run(new RepeatedCrash(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        String storeHost = "127.63.0.1";
        int port = Wire.freePorts(10, HOSTS[0], HOSTS[1], HOSTS[2], storeHost);
        Store store = started(new Store(storeHost, port));
        for (int i = 0; i < SERVERS; i++) {
            Server server = started(new Fragile(store, HOSTS[i], port + 8));
            server.start("i-" + i, 0);
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
        Server.sleep(3_000);
        Traffic traffic = started(new Traffic(this));
        for (Node node : nodes) {
            traffic.start(node, 2, 4, "POST", "/orders/new", "order", (id, sent, status) -> ended(id, status));
        }
        say("traffic starts");
        Server.sleep(3_000);
        if (trouble) {
            say("a request comes once a second, at the nodes in turn, which crashes each server that begins to run it");
            for (int i = 0; i < 60; i++) {
                sendPoison(nodes.get(i % nodes.size()));
                Server.sleep(1_000);
            }
        } else {
            Server.sleep(20_000);
        }
        return judge();
    }

    private void sendPoison(Node node) {
        String id = nextRequestId();
        int status = 0;
        try (Wire wire = Wire.connect(node.host, node.port(Node.FRONT), 1_000)) {
            wire.timeout(2_000);
            Wire.Message answer = wire.call(
                    "POST",
                    POISON,
                    Wire.headers(
                            "Host", "shop.example", "Turmericspan-Request-Id", id, "Turmericspan-Deadline-Ms", "1000"),
                    "poison");
            status = answer == null ? 0 : answer.status();
        } catch (IOException e) {
            note("connection failed: " + e.getMessage());
        }
        note("answer to poison " + id + " from " + node.name + ": " + status);
    }

    private synchronized void crashed(Server server, Wire.Message request) {
        String id = request.header("Turmericspan-Request-Id");
        crashes.add(now());
        if (crashes.size() == 3) {
            thirdCrash = now();
        }
        boolean isLate = now() > thirdCrash + CONTACT_S;
        if (isLate && !lateRetries.contains(id)) {
            lateRetries.add(id);
        }
        say("crash " + crashes.size() + ", of " + server.id + " by " + id + (isLate ? ", late" : ""));
    }

    private synchronized void ended(String id, int status) {
        note("answer " + id + " " + status);
        lostOrders += status == 0 || status == 502 || status == 504 ? 1 : 0;
    }

    private synchronized boolean judge() {
        say("other orders that ended with 502, 504 or a closed connection: " + lostOrders);
        say("retries that reached a server later than ContactS after the third crash: " + lateRetries.size()
                + ", allowed 3");
        return lateRetries.size() <= 3;
    }

    private final class Fragile extends Server {
        Fragile(Store store, String host, int port) {
            super(
                    store,
                    (server, request) -> note("arrival " + request.header("Turmericspan-Request-Id") + " at " + server.id),
                    "orders", "zone-a", host, port, 20);
        }

        @Override
        void run(Wire wire, Wire.Message request, String echo) throws IOException {
            if (request.target().equals(POISON)) {
                crashed(this, request);
                crash();
                Wire.thread(() -> {
                    sleep(DOWN_MILLIS);
                    try {
                        start(id, 3_000);
                    } catch (IOException e) {
                        note("not started again: " + e);
                    }
                });
            } else {
                super.run(wire, request, echo);
            }
        }
    }
}
