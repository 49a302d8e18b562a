import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Lets a node stand still while another one is killed, and asks a third which addresses to use after it goes on. */
final class DeadAddress extends Case {
    /** Nodes of zone-a, zone-b and zone-c. */
    private static final int[] NODES = {5, 4, 1};
    private static final double FREEZE_S = 5;
    private static final double LIMIT_S = 3 + 3;

    public static void main(String[] arguments) throws Exception {
        run(new DeadAddress(), arguments[0]);
    }

    @Override
    boolean play() throws Exception {
        String storeHost = "127.104.0.1";
        List<String> hosts = new ArrayList<>();
        for (int zone = 0; zone < NODES.length; zone++) {
            for (int i = 1; i <= NODES[zone]; i++) {
                hosts.add("127.10" + (zone + 1) + ".0." + i);
            }
        }
        hosts.add(storeHost);
        int port = Wire.freePorts(10, hosts.toArray(new String[0]));
        Store store = started(new Store(storeHost, port));
        Server server = started(new Server(store, (at, request) -> {}, "lookup", "zone-b", storeHost, port + 8, 40));
        server.start("i-1", 0);
        store.put(
                "op/config",
                configuration(7, List.of(route("r-lookup", "/lookup/", "safe", "lookup", 2)), List.of(service("lookup"))));
        int control = port + 1 + Node.CONTROL;
        String seeds = "127.101.0.1:" + control + ",127.102.0.1:" + control + ",127.103.0.1:" + control;
        List<Node> nodes = new ArrayList<>();
        for (String host : hosts.subList(0, hosts.size() - 1)) {
            char zone = (char) ('a' + host.charAt(6) - '1');
            Node node = started(new Node(
                    "front-" + zone + "-" + host.substring(host.length() - 1), "zone-" + zone, host, port + 1, seeds,
                    storeHost + ":" + port, "zone-a,zone-b,zone-c", folder));
            node.start();
            nodes.add(node);
        }
        for (Node node : nodes) {
            node.awaitReady(20_000);
        }
        Server.sleep(5_000);
        Node asked = nodes.get(nodes.size() - 1);
        String named = resolve(asked);
        Node killed = nodes.stream()
                .filter(node -> node != asked && named.contains(node.host + ":"))
                .findFirst()
                .orElseThrow();
        Node frozen = nodes.stream()
                .filter(node -> node != killed && node.zone.equals(killed.zone))
                .reduce((first, second) -> second)
                .orElseThrow();
        say(asked.name + ", the only node of its zone, names itself and " + killed.name);
        if (trouble) {
            say(frozen.name + " stands still for " + FREEZE_S + " s");
            frozen.signal("STOP");
        }
        double frozenAt = now();
        Server.sleep(300);
        killed.kill();
        double killedAt = now();
        say(killed.name + " is killed and does not start again");
        boolean continued = !trouble;
        int late = 0;
        while (now() < killedAt + 12) {
            if (!continued && now() >= frozenAt + FREEZE_S) {
                frozen.signal("CONT");
                continued = true;
                say(frozen.name + " goes on");
            }
            String addresses = resolve(asked);
            boolean isNamed = addresses.contains(killed.host + ":");
            double age = now() - killedAt;
            note("answer of " + asked.name + " " + age + " s after the end of " + killed.name + ": " + addresses);
            if (isNamed && age > LIMIT_S) {
                late++;
            }
            Server.sleep(100);
        }
        say("answers that name " + killed.name + " over " + LIMIT_S + " s after its end: " + late + ", allowed 3");
        return late <= 3;
    }

    private static String resolve(Node node) throws IOException {
        try (Wire wire = Wire.connect(node.host, node.port(Node.DIRECTORY), 1_000)) {
            wire.timeout(1_000);
            Wire.Message answer =
                    wire.call("GET", "/api/resolve?Name=shop.example&Region=r&Zone=zone-c", Wire.headers("Host", node.host), "");
            return answer == null ? "" : new String(answer.body());
        }
    }
}
