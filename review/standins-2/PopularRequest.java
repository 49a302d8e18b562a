import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Crashes some servers in turn while all callers of one kind send the same request, and counts how it is served. */
final class PopularRequest extends Case {
    private static final String[] HOSTS = {"127.81.0.1", "127.81.0.2", "127.81.0.3"};
    private static final int SERVERS = 22;
    private static final int CRASHES = 4;
    /** Servers that crash at a time, 0.136 of them. */
    private static final int CRASHING = 3;

    private static final long BETWEEN_CRASHES_MILLIS = 5_000;
    private static final long WORK_MILLIS = 240;
    private static final long DOWN_MILLIS = 4_500;
    private static final long PLAY_MILLIS = 95_000;

    private final Map<String, int[]> servedAndSent = new TreeMap<>();
    private volatile boolean ended;

    public static void main(String[] arguments) throws Exception {
        run(new PopularRequest(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        String storeHost = "127.83.0.1";
        int port = Wire.freePorts(10 + SERVERS, HOSTS[0], HOSTS[1], HOSTS[2], storeHost);
        Store store = started(new Store(storeHost, port));
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Server server = started(new Server(
                    store,
                    (at, request) -> note("arrival " + request.header("Turmericspan-Request-Id") + " at " + at.id),
                    "prices", "zone-a", storeHost, port + 10 + i, WORK_MILLIS));
            server.start("i-" + i, 0);
            servers.add(server);
        }
        store.put(
                "op/config",
                configuration(
                        7,
                        List.of(
                                route("r-today", "/today/", "safe", "prices", 2).replace("0.3", "0.6"),
                                route("r-item", "/item/", "safe", "prices", 2).replace("0.3", "0.6")),
                        List.of(service("prices"))));
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
            traffic.start(node, 20, 30, "GET", "/today/list", "", (id, sent, status) -> record("today", id, status));
            traffic.start(node, 20, 30, "GET", "/item/{id}", "", (id, sent, status) -> record("item", id, status));
        }
        say("traffic starts: two kinds of request, one of which is the same for all callers");
        double endAt = now() + PLAY_MILLIS / 1_000.0;
        Server.sleep(1_000);
        if (trouble) {
            for (int i = 0; i < CRASHES; i++) {
                for (int j = 0; j < CRASHING; j++) {
                    crash(servers.get(i * CRASHING + j), "i-again-" + i + "-" + j);
                }
                Server.sleep(BETWEEN_CRASHES_MILLIS);
            }
        }
        Server.sleep((long) Math.max(0, (endAt - now()) * 1_000));
        ended = true;
        return judge();
    }

    private void crash(Server server, String nextId) {
        say(server.id + " crashes");
        server.crash();
        Wire.thread(() -> {
            Server.sleep(DOWN_MILLIS);
            try {
                server.start(nextId, 3_000);
            } catch (IOException e) {
                note("not started again: " + e);
            }
        });
    }

    private void record(String kind, String id, int status) {
        if (!ended) {
            note("answer " + id + " " + kind + " " + status);
            synchronized (servedAndSent) {
                int[] counts = servedAndSent.computeIfAbsent(kind, key -> new int[2]);
                counts[0] += status == 200 ? 1 : 0;
                counts[1]++;
            }
        }
    }

    private boolean judge() {
        synchronized (servedAndSent) {
            int served = 0;
            int sent = 0;
            for (int[] counts : servedAndSent.values()) {
                served += counts[0];
                sent += counts[1];
            }
            double all = (double) served / sent;
            boolean held = true;
            for (Map.Entry<String, int[]> kind : servedAndSent.entrySet()) {
                double share = (double) kind.getValue()[0] / kind.getValue()[1];
                say("kind " + kind.getKey() + ": served " + kind.getValue()[0] + " of " + kind.getValue()[1]);
                held &= share >= all / 4;
            }
            say("all: served " + served + " of " + sent + "; a kind served less than a quarter as often is starved");
            return held;
        }
    }
}
