package org.turmericspan.caps;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.tenancy.TenantDirectory;
import org.turmericspan.testkit.ManualClock;

/**
 * Nodes that keep caps, with a network and a membership in memory. Messages may be late, lost or repeated; nodes may
 * join, be killed, freeze, or be cut off from each other. A freeze postpones all that a node does.
 */
public final class InMemoryFleet {
    /** Bytes of an ask or an answer, rounded up; {@code CapCodecTest} compares it with the encoding. */
    public static final int MESSAGE_BYTES = 32;

    static final CapLimits LIMITS = new CapLimits(TimeUnit.SECONDS.toNanos(5), 0.25, 20);
    /** Time after which failed nodes and nodes behind a cut are known not to answer. */
    private static final long DETECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** Bytes of the headers of IP and UDP. */
    private static final int HEADER_BYTES = 28;

    /** Time after which a dead node is forgotten. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Pause between two refreshes of a node that has not joined; later it is a second. */
    private static final long JOINING_REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Time within which a node joins. */
    private static final long JOINING_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /** Nodes that each node is told of when it starts. */
    private static final int SEEDS = 3;

    private static final Comparator<Task> EARLIEST_FIRST = (first, second) -> {
        int byTime = Long.compare(first.atNanos(), second.atNanos());
        return byTime != 0 ? byTime : Long.compare(first.order(), second.order());
    };

    private final ManualClock clock = new ManualClock();
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, List<Long>> admittedNanos = new LinkedHashMap<>();
    private final Map<CapDecision.Outcome, Integer> outcomes = new LinkedHashMap<>();
    private final CapLimits limits;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(EARLIEST_FIRST);
    private final long maxNewsNanos;
    private double lossShare;
    private double lateShare;
    private double repeatShare;
    private TenantDirectory directory = TenantDirectory.NONE;
    private long maxWaitNanos;
    private BiPredicate<Node, Node> inTouch = (first, second) -> true;
    private long cutNanos;
    private long order;
    private boolean hasSeeds = true;

    InMemoryFleet(CapLimits limits, long seed, Duration maxNews) {
        this.limits = limits;
        this.random = new SplittableRandom(seed);
        this.maxNewsNanos = maxNews.toNanos();
    }

    ManualClock clock() {
        return clock;
    }

    SplittableRandom random() {
        return random;
    }

    List<Node> nodes() {
        return nodes;
    }

    void setDirectory(TenantDirectory newDirectory) {
        directory = newDirectory;
    }

    /** Starts nodes from now on without the addresses of seeds. */
    void withholdSeeds() {
        hasSeeds = false;
    }

    /** Sets the shares of messages that are lost, late and repeated. */
    void disturbMessages(double newLossShare, double newLateShare, double newRepeatShare) {
        lossShare = newLossShare;
        lateShare = newLateShare;
        repeatShare = newRepeatShare;
    }

    List<Long> admittedNanos(String tenant) {
        return admittedNanos.getOrDefault(tenant, List.of());
    }

    int decided() {
        return outcomes.values().stream().mapToInt(count -> count).sum();
    }

    long asks() {
        return nodes.stream().mapToLong(node -> node.asks).sum();
    }

    long sentBytes() {
        return nodes.stream().mapToLong(node -> node.sentBytes).sum();
    }

    long maxWaitNanos() {
        return maxWaitNanos;
    }

    /** Starts a node of a fleet that starts for the first time. */
    Node add(int zone) {
        Node node = join(zone);
        node.caps.establish();
        return node;
    }

    /** Starts a node that joins the others; they learn of it within the time for news. */
    Node join(int zone) {
        Node node = new Node(nodes.size(), zone);
        nodes.add(node);
        node.start();
        return node;
    }

    void cut(BiPredicate<Node, Node> newInTouch) {
        inTouch = newInTouch;
        cutNanos = clock.nowNanos();
    }

    void at(long atNanos, Runnable action) {
        tasks.add(new Task(Math.max(atNanos, clock.nowNanos()), order++, action));
    }

    /** Runs everything that is due until a time from now. */
    void run(Duration duration) {
        long endNanos = clock.nowNanos() + duration.toNanos();
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= endNanos) {
            Task task = tasks.remove();
            clock.advance(Duration.ofNanos(Math.max(0, task.atNanos() - clock.nowNanos())));
            task.action().run();
        }
        clock.advance(Duration.ofNanos(endNanos - clock.nowNanos()));
    }

    /** Returns the most requests of a tenant that were admitted in any window of a length. */
    int mostAdmitted(String tenant, long fromNanos, long untilNanos) {
        List<Long> times = admittedNanos.getOrDefault(tenant, List.of());
        int most = 0;
        int first = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) > limits.windowNanos()) {
                first++;
            }
            if (times.get(first) >= fromNanos && times.get(i) <= untilNanos) {
                most = Math.max(most, i - first + 1);
            }
        }
        return most;
    }

    Map<CapDecision.Outcome, Integer> outcomes() {
        return outcomes;
    }

    int count(CapDecision.Outcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    void forgetFigures() {
        outcomes.clear();
        maxWaitNanos = 0;
        for (Node node : nodes) {
            node.sentBytes = 0;
            node.asks = 0;
        }
    }

    /** One node. */
    final class Node {
        private final int index;
        private final int zone;
        private final SocketAddress address;
        private CapNode caps;
        private boolean isDead;
        private long diedNanos;
        private long startedNanos;
        private long sentBytes;
        private long asks;
        private long frozenUntilNanos;
        private int incarnation;
        private final Set<Node> known = new HashSet<>();

        Node(int index, int zone) {
            this.index = index;
            this.zone = zone;
            this.address = new SocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 7000);
            this.frozenUntilNanos = clock.nowNanos();
        }

        int index() {
            return index;
        }

        int zone() {
            return zone;
        }

        boolean isDead() {
            return isDead;
        }

        CapNode caps() {
            return caps;
        }

        /** Starts the process, with nothing left of an earlier one. */
        void start() {
            isDead = false;
            incarnation++;
            startedNanos = clock.nowNanos();
            known.clear();
            int started = incarnation;
            CapPeer self = new CapPeer(address, new AvailabilityZoneId("zone-" + zone), true);
            caps = new CapNode(
                    self,
                    limits,
                    random.nextLong(),
                    this::peers,
                    () -> directory,
                    (delayNanos, action) -> perform(started, clock.nowNanos() + delayNanos, action),
                    (tenant, outcome) -> outcomes.merge(outcome, 1, Integer::sum),
                    clock);
            Set<SocketAddress> seeds = new HashSet<>();
            Set<AvailabilityZoneId> zones = new HashSet<>();
            for (Node other : nodes) {
                zones.add(new AvailabilityZoneId("zone-" + other.zone));
                if (other != this && other.index < SEEDS) {
                    seeds.add(other.address);
                }
            }
            if (hasSeeds) {
                caps.expect(seeds, zones);
            }
            caps.start(this::send);
            refreshLater(started);
        }

        private void refreshLater(int started) {
            boolean isJoining = clock.nowNanos() - startedNanos < JOINING_NANOS;
            long pauseNanos = isJoining ? JOINING_REFRESH_NANOS : TimeUnit.SECONDS.toNanos(1);
            perform(started, clock.nowNanos() + pauseNanos, () -> {
                caps.refresh();
                refreshLater(started);
            });
        }

        void kill() {
            isDead = true;
            diedNanos = clock.nowNanos();
            incarnation++;
        }

        void freeze(long nanos) {
            frozenUntilNanos = clock.nowNanos() + nanos;
        }

        void request(String tenant) {
            perform(incarnation, clock.nowNanos(), () -> {
                if (!isDead) {
                    long sinceNanos = clock.nowNanos();
                    directory.tenants().stream()
                            .filter(each -> each.id().value().equals(tenant)
                                    && each.cap().isLimited())
                            .findFirst()
                            .ifPresent(each -> caps.admit(each, decision -> decided(tenant, decision, sinceNanos)));
                }
            });
        }

        private void decided(String tenant, CapDecision decision, long sinceNanos) {
            maxWaitNanos = Math.max(maxWaitNanos, clock.nowNanos() - sinceNanos);
            if (decision.isAdmitted()) {
                admittedNanos.computeIfAbsent(tenant, key -> new ArrayList<>()).add(clock.nowNanos());
            }
        }

        /** Runs an action of one incarnation at a time, or when the node is no longer frozen. */
        private void perform(int started, long atNanos, Runnable action) {
            at(atNanos, () -> {
                if (incarnation == started) {
                    if (frozenUntilNanos > clock.nowNanos()) {
                        perform(started, frozenUntilNanos, action);
                    } else {
                        action.run();
                    }
                }
            });
        }

        private void send(CapDatagram datagram, SocketAddress recipient) {
            sentBytes += HEADER_BYTES + MESSAGE_BYTES;
            asks += datagram.message() instanceof CapAsk ? 1 : 0;
            Node target = nodes.stream()
                    .filter(node -> node.address.equals(recipient))
                    .findFirst()
                    .orElseThrow();
            if (!inTouch.test(this, target) || target.isDead || random.nextDouble() < lossShare) {
                return;
            }
            int copies = random.nextDouble() < repeatShare ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delayNanos = TimeUnit.MICROSECONDS.toNanos(zone == target.zone ? 300 : 1_400);
                if (random.nextDouble() < lateShare) {
                    delayNanos += random.nextLong(MAX_LATE_NANOS);
                }
                target.perform(
                        target.incarnation,
                        clock.nowNanos() + delayNanos,
                        () -> target.caps.receive(address, datagram));
            }
        }

        /** Lists the nodes that this process has been in touch with since it started, and itself. */
        private List<CapPeer> peers() {
            List<CapPeer> peers = new ArrayList<>();
            for (Node node : nodes) {
                long sinceNanos = clock.nowNanos() - Math.max(node.startedNanos, startedNanos);
                if (node == this || !node.isDead && inTouch.test(this, node) && sinceNanos >= newsNanos(node)) {
                    known.add(node);
                }
                if (node.isDead && clock.nowNanos() - node.diedNanos > RETENTION_NANOS + newsNanos(node)) {
                    known.remove(node);
                }
                if (known.contains(node)) {
                    peers.add(new CapPeer(
                            node.address,
                            new AvailabilityZoneId("zone-" + node.zone),
                            node == this || seesAlive(node)));
                }
            }
            return peers;
        }

        private long newsNanos(Node other) {
            return Math.floorMod((index * 31L + other.index) * 7_919 * 1_000_003, maxNewsNanos + 1);
        }

        private boolean seesAlive(Node other) {
            boolean hasFailed = other.isDead && clock.nowNanos() - other.diedNanos > DETECTION_NANOS;
            boolean isCutOff = !inTouch.test(this, other) && clock.nowNanos() - cutNanos > DETECTION_NANOS;
            return !hasFailed && !isCutOff;
        }
    }

    /** Something to be done at a time. */
    private record Task(long atNanos, long order, Runnable action) {}
}
