import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Faulty servers send additional bytes after a few of their complete answers, here rejections while they are full: the
 * first bytes of a second copy, which breaks off within its status line. Checks that requesters get the status that the server gave, that no request that is not
 * idempotent runs twice, and that none that is refused runs.
 */
final class BrokenOffCopy {
    private static final int REQUESTERS = 30;
    private static final int SERVERS = 5;
    /** Three of the five servers are faulty, a share of 0.6. */
    private static final int FAULTY_SERVERS = 3;
    private static final long WORK_MILLIS = 60;
    private static final long TIME_BUDGET_MILLIS = 2_000;
    private static final long PAUSE_MILLIS = 40;
    private static final int WINDOWS = 8;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long WINDOW_PAUSE_MILLIS = 2_000;
    /** Largest share of its answers after which a faulty server sends additional bytes. */
    private static final double SPOILT_SHARE = 0.03;
    /** The copy breaks off after this many bytes, within the status line. */
    private static final int EXTRA_BYTES = 15;

    private final Kit.Fleet fleet;
    private final Map<String, Integer> statusById = new ConcurrentHashMap<>();
    private final Map<String, Boolean> signedById = new ConcurrentHashMap<>();
    /** Status of the last answer of a server that ran a request, by the id of the request. */
    private final Map<String, Integer> serverStatusById = new ConcurrentHashMap<>();
    private volatile boolean isFaulty;
    private volatile boolean stopped;

    private BrokenOffCopy(Kit.Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        Kit.run(arguments[0], fleet -> new BrokenOffCopy(fleet).run());
    }

    /** A server that sends the first bytes of a second copy after a few of its answers while it is faulty. */
    private final class FaultyServer extends Kit.Server {
        private final boolean maySpoil;
        private final AtomicInteger answers = new AtomicInteger();
        private final AtomicInteger spoilt = new AtomicInteger();

        FaultyServer(Kit.Fleet fleet, String id, boolean maySpoil) throws IOException {
            super(fleet, id, "mix", "zone-a", 3, 2, false);
            this.maySpoil = maySpoil;
        }

        @Override
        byte[] run(Socket connection, Kit.Message request) throws IOException {
            byte[] answer = super.run(connection, request);
            String text = new String(answer, StandardCharsets.ISO_8859_1);
            String requestId = request.header(Kit.REQUEST_ID);
            if (text.contains(Kit.SIGNATURE)) {
                serverStatusById.put(requestId, Integer.parseInt(text.substring(9, 12)));
            }
            if (!isFaulty || !maySpoil) {
                return answer;
            }
            int count = answers.incrementAndGet();
            boolean isRejection = text.startsWith("503", 9);
            if (!isRejection || spoilt.get() + 1 > SPOILT_SHARE * count) {
                return answer;
            }
            spoilt.incrementAndGet();
            String extra = text.substring(0, EXTRA_BYTES);
            fleet.record(id + " sends additional bytes after its answer " + text.substring(9, 12) + " to " + requestId
                    + ": " + extra);
            return (text + extra).getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    private boolean run() throws Exception {
        fleet.store.put(
                "op/config",
                Kit.configuration(
                        3, List.of(Kit.route("mix", "/mix/", "unsafe", "mix", 2.0, 0.5, 0)), List.of("mix")));
        List<FaultyServer> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            FaultyServer server = new FaultyServer(fleet, "i-" + i, i < FAULTY_SERVERS);
            server.workMillis = WORK_MILLIS;
            servers.add(server);
            fleet.addServer(server);
        }
        String seeds = Kit.Node.seed(0) + "," + Kit.Node.seed(1) + "," + Kit.Node.seed(2);
        for (int i = 0; i < 3; i++) {
            fleet.addNode(i, "zone-a", seeds).start();
        }
        fleet.awaitReady();
        Kit.sleep(2_000);
        for (int i = 0; i < REQUESTERS; i++) {
            int index = i;
            Kit.startThread("requester-" + i, () -> request(index));
        }
        Kit.sleep(3_000);
        for (int i = 0; i < WINDOWS; i++) {
            isFaulty = Kit.isDisrupted();
            Kit.sleep(WINDOW_MILLIS);
            isFaulty = false;
            Kit.sleep(WINDOW_PAUSE_MILLIS);
        }
        stopped = true;
        Kit.sleep(TIME_BUDGET_MILLIS + 2_000);
        for (FaultyServer server : servers.subList(0, FAULTY_SERVERS)) {
            fleet.print(server.id + " sent " + server.answers
                    + " answers to requests while it was faulty, and additional bytes after " + server.spoilt);
        }
        return check();
    }

    private void request(int index) {
        SplittableRandom random = new SplittableRandom(index);
        try (Kit.Requester requester = new Kit.Requester(fleet)) {
            for (int i = 0; !stopped; i++) {
                String id = "q" + index + "-" + i;
                Kit.Outcome outcome = requester.send(
                        fleet.nodes.get(index % fleet.nodes.size()).front(),
                        "POST",
                        "/mix/" + id,
                        id,
                        TIME_BUDGET_MILLIS,
                        "blue".getBytes(StandardCharsets.UTF_8));
                signedById.put(
                        id, outcome.response() != null && outcome.response().header(Kit.SIGNATURE) != null);
                statusById.put(id, outcome.status());
                Kit.sleep(random.nextLong(2 * PAUSE_MILLIS));
            }
        }
    }

    private boolean check() {
        List<String> broken = new ArrayList<>();
        int twice = 0;
        int refused = 0;
        int mixed = 0;
        for (Map.Entry<String, Integer> answered : statusById.entrySet()) {
            String id = answered.getKey();
            int status = answered.getValue();
            int runs = 0;
            StringBuilder where = new StringBuilder();
            for (Kit.Server server : fleet.servers) {
                int count = server.runsById.getOrDefault(id, 0);
                runs += count;
                where.append(count > 0 ? " " + server.id : "");
            }
            Integer serverStatus = serverStatusById.get(id);
            boolean isPromiseOfNotRun = status == 503 || status == 429 || status == 408 || status == 421;
            String rules = "";
            if (runs > 1) {
                twice++;
                rules += " TWICE";
            }
            if (runs > 0 && isPromiseOfNotRun) {
                refused++;
                rules += " REFUSED";
            }
            if (signedById.get(id) && serverStatus != null && serverStatus != status) {
                mixed++;
                rules += " MIXED";
            }
            if (!rules.isEmpty()) {
                broken.add(rules.trim() + ": " + id + " ran at" + where + ", the server answered " + serverStatus
                        + ", the requester got " + status + (signedById.get(id) ? " with" : " without")
                        + " the server's signature");
            }
        }
        broken.forEach(fleet::print);
        fleet.print("requests " + statusById.size() + ", wrong status " + mixed + ", refused and run " + refused
                + ", run twice " + twice);
        return broken.isEmpty();
    }
}
