import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stops one of three nodes under load by SIGTERM, and checks that each request that it passes on is answered. */
final class PlannedStop {
    private static final int REQUESTERS = 240;
    private static final int SERVERS = 60;
    private static final long WORK_MILLIS = 300;
    private static final long TIME_BUDGET_MILLIS = 1_500;
    private static final double ROUTE_TIMEOUT_SECONDS = 1.5;
    private static final long MEAN_PAUSE_MILLIS = 400;
    private static final long TTL_MILLIS = 5_000;
    private static final long GRACE_MILLIS = 6_000;
    /** A request sent later than this after the SIGTERM has no excuse when its server is at work near the end. */
    private static final long EXCUSED_SENT_MILLIS = 3_000;

    private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");

    private record Attempt(String id, String address, long sentMillis, long endedMillis, Kit.Outcome outcome) {}

    private final Kit.Fleet fleet;
    private final Queue<Attempt> attempts = new ConcurrentLinkedQueue<>();
    private volatile boolean stopped;

    private PlannedStop(Kit.Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        Kit.run(arguments[0], fleet -> new PlannedStop(fleet).run());
    }

    private boolean run() throws Exception {
        fleet.store.put(
                "op/config",
                Kit.configuration(
                        3,
                        List.of(Kit.route("orders", "/orders/", "unsafe", "desk", ROUTE_TIMEOUT_SECONDS, 0.8, 0)),
                        List.of("desk")));
        for (int i = 0; i < SERVERS; i++) {
            Kit.Server server = new Kit.Server(fleet, "i-" + i, "desk", "zone-" + (char) ('a' + i % 3), 3, 6, true);
            server.workMillis = WORK_MILLIS;
            fleet.addServer(server);
        }
        String seeds = Kit.Node.seed(0) + "," + Kit.Node.seed(1) + "," + Kit.Node.seed(2);
        for (int i = 0; i < 3; i++) {
            fleet.addNode(i, "zone-" + (char) ('a' + i), seeds).start();
        }
        fleet.awaitReady();
        Kit.sleep(3_000);
        for (int i = 0; i < REQUESTERS; i++) {
            int index = i;
            Kit.startThread("requester-" + i, () -> request(index));
        }
        Kit.sleep(10_000);
        Kit.Node leaving = fleet.nodes.get(0);
        long termMillis = Kit.nowMillis();
        if (Kit.isDisrupted()) {
            leaving.signal("TERM");
        }
        leaving.awaitExit(GRACE_MILLIS);
        long exitMillis = Kit.nowMillis();
        fleet.print(leaving.name + (leaving.isAlive() ? " still runs " : " has exited ") + (exitMillis - termMillis)
                + " ms after the SIGTERM");
        if (Kit.isDisrupted()) {
            leaving.kill();
        }
        Kit.sleep(3_000);
        stopped = true;
        Kit.sleep(TIME_BUDGET_MILLIS + 2_000);
        return check(leaving, termMillis);
    }

    /** Sends requests, each on a new connection to an address of the directory's last answer. */
    private void request(int index) {
        SplittableRandom random = new SplittableRandom(index);
        // Some requesters keep an answer of the directory three times as long.
        long lifeMillis = index % 3 == 0 ? 3 * TTL_MILLIS : TTL_MILLIS;
        List<String> addresses = List.of();
        long validUntilMillis = 0;
        Kit.sleep(random.nextLong(MEAN_PAUSE_MILLIS));
        for (int i = 0; !stopped; i++) {
            if (Kit.nowMillis() > validUntilMillis) {
                List<String> resolved = resolve(random.nextInt(3));
                if (!resolved.isEmpty()) {
                    addresses = resolved;
                    // The first answers expire at different times, as in a fleet of requesters that runs for long.
                    validUntilMillis = Kit.nowMillis() + (i == 0 ? random.nextLong(lifeMillis) : lifeMillis);
                }
            }
            if (!addresses.isEmpty()) {
                String address = addresses.get(random.nextInt(addresses.size()));
                String id = "q" + index + "-" + i;
                long sentMillis = Kit.nowMillis();
                Kit.Outcome outcome;
                try (Kit.Requester requester = new Kit.Requester(fleet)) {
                    outcome = requester.send(
                            address, "POST", "/orders/" + id, id, TIME_BUDGET_MILLIS, "drum".getBytes());
                }
                attempts.add(new Attempt(id, address, sentMillis, Kit.nowMillis(), outcome));
                if (outcome.status() == 0 && !outcome.isWholeRequestSent()) {
                    addresses = addresses.stream().filter(each -> !each.equals(address)).toList();
                }
            }
            Kit.sleep(random.nextLong(2 * MEAN_PAUSE_MILLIS));
        }
    }

    /** Asks the nodes for addresses, the nearest first. */
    private List<String> resolve(int nearest) {
        for (int i = 0; i < fleet.nodes.size(); i++) {
            Kit.Node node = fleet.nodes.get((nearest + i) % fleet.nodes.size());
            List<String> addresses = new ArrayList<>();
            try {
                Matcher matcher = ADDRESS.matcher(node.resolve("zone-none"));
                while (matcher.find()) {
                    addresses.add(matcher.group(1));
                }
            } catch (Exception e) {
                continue;
            }
            if (!addresses.isEmpty()) {
                return addresses;
            }
        }
        return List.of();
    }

    private boolean check(Kit.Node leaving, long termMillis) {
        int answered = 0;
        int unanswered = 0;
        List<String> lost = new ArrayList<>();
        for (Attempt attempt : attempts) {
            boolean hasRun = fleet.servers.stream().anyMatch(server -> server.runsById.containsKey(attempt.id()));
            long afterTermMillis = attempt.sentMillis() - termMillis;
            if (attempt.outcome().status() != 0) {
                answered++;
            } else {
                unanswered++;
            }
            boolean isLost = attempt.outcome().status() == 0
                    && hasRun
                    && attempt.endedMillis() - attempt.sentMillis() < TIME_BUDGET_MILLIS
                    && (!attempt.address().equals(leaving.front()) || afterTermMillis > EXCUSED_SENT_MILLIS);
            if (isLost) {
                lost.add(attempt.id() + " sent " + afterTermMillis + " ms after the SIGTERM to "
                        + (attempt.address().equals(leaving.front()) ? "the leaving node" : "another node")
                        + ", ended after " + (attempt.endedMillis() - attempt.sentMillis()) + " ms: "
                        + attempt.outcome().failure());
            }
        }
        lost.forEach(line -> fleet.print("lost: " + line));
        fleet.print("answered " + answered + ", without an answer " + unanswered + ", of these passed on and lost "
                + lost.size());
        return lost.isEmpty();
    }
}
