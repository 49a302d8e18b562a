import java.util.ArrayList;
import java.util.List;

/** Counts what reaches a cold server after a rolling restart of nodes whose seeds are lost. */
final class SplitOwners extends Case {
    private static final double LIMIT = 7.3 * 1.5 + 5;
    private static final String[] SEEDS = {"127.41.0.1", "127.41.0.2", "127.41.0.3"};
    private static final String[] OTHERS = {"127.42.0.1", "127.42.0.2", "127.42.0.3", "127.42.0.4"};

    /** Time from the end of a process to its next start. */
    private static final long PAUSE_MILLIS = 2_000;

    private record Arrival(double at, double sentAt) {}

    private final List<Arrival> coldArrivals = new ArrayList<>();
    private Traffic traffic;

    public static void main(String[] arguments) throws Exception {
        run(new SplitOwners(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        List<String> hosts = new ArrayList<>(List.of(SEEDS));
        hosts.addAll(List.of(OTHERS));
        hosts.add("127.43.0.1");
        int port = Wire.freePorts(10, hosts.toArray(new String[0]));
        Store store = started(new Store("127.43.0.1", port));
        traffic = started(new Traffic(this));
        Server warm = started(new Server(store, this::arrived, "lookup", "zone-b", "127.42.0.1", port + 8, 42));
        Server joining = new Server(store, this::arrived, "lookup", "zone-b", "127.42.0.2", port + 8, 42);
        store.put(
                "op/config",
                configuration(7, List.of(route("r-lookup", "/lookup/", "safe", "lookup", 2)), List.of(service("lookup"))));
        warm.start("i-warm", 0);
        String seeds = SEEDS[0] + ":" + (port + Node.CONTROL) + "," + SEEDS[1] + ":" + (port + Node.CONTROL) + ","
                + SEEDS[2] + ":" + (port + Node.CONTROL);
        List<Node> inZoneA = new ArrayList<>();
        List<Node> inZoneB = new ArrayList<>();
        for (String host : hosts.subList(0, SEEDS.length + OTHERS.length)) {
            boolean isSeed = List.of(SEEDS).contains(host);
            Node node = started(new Node(
                    (isSeed ? "front-a-" : "front-b-") + host.substring(host.length() - 1),
                    isSeed ? "zone-a" : "zone-b",
                    host,
                    port + 1,
                    seeds,
                    "127.43.0.1:" + port,
                    "zone-a,zone-b",
                    folder));
            (isSeed ? inZoneA : inZoneB).add(node);
            node.start();
        }
        for (Node node : inZoneB) {
            node.awaitReady(20_000);
        }
        Server.sleep(3_000);
        say("all nodes are ready; traffic starts");
        for (Node node : inZoneB) {
            traffic.start(node, 8, 17, "GET", "/lookup/1", "", (id, sent, status) -> note("answer " + id + " " + status));
        }
        Server.sleep(4_000);
        if (trouble) {
            say("the machines of zone-a, which are the seeds, are lost");
            for (Node node : inZoneA) {
                node.kill();
            }
        }
        Server.sleep(4_000);
        for (Node node : inZoneB) {
            say(node.name + " gets SIGTERM, and starts again " + PAUSE_MILLIS / 1_000 + " s after its end");
            node.stop();
            Server.sleep(PAUSE_MILLIS);
            node.start();
            node.awaitReady(20_000);
        }
        Server.sleep(4_000);
        say("a server joins, cold for 3 s");
        started(joining).start("i-joining", 3_000);
        Server.sleep(3_000);
        return judge();
    }

    private void arrived(Server server, Wire.Message request) {
        String id = request.header("Turmericspan-Request-Id");
        note("arrival " + id + " at " + server.id + (server.isCold() ? " cold" : ""));
        if (server.isCold() && !id.isEmpty()) {
            synchronized (coldArrivals) {
                coldArrivals.add(new Arrival(now(), traffic.sentAt(id)));
            }
        }
    }

    private boolean judge() {
        int most = 0;
        synchronized (coldArrivals) {
            for (Arrival first : coldArrivals) {
                int count = 0;
                for (Arrival other : coldArrivals) {
                    count += other.at >= first.at && other.at < first.at + 1 && other.sentAt >= first.sentAt ? 1 : 0;
                }
                most = Math.max(most, count);
            }
        }
        say("most requests that were sent to the cold server and arrived within one second: " + most + ", allowed "
                + LIMIT);
        return most <= LIMIT;
    }
}
