package org.turmericspan.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.CatchUp;
import org.turmericspan.feed.ChangeLimits;
import org.turmericspan.feed.ReaderTreeSelector;
import org.turmericspan.feed.StoreFeed;
import org.turmericspan.feed.StoreProbes;
import org.turmericspan.gossip.Gossip;
import org.turmericspan.gossip.GossipMessage;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallHandle;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.platform.DocumentDecoder;
import org.turmericspan.platform.FeedRelay;
import org.turmericspan.platform.StoreClient;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/**
 * Nodes of several zones that read one store through each other, in memory and in simulated time. They know each other
 * by the gossip that they run in production, over a network that delays and loses datagrams, and a node that starts
 * knows only the seeds.
 */
final class RelayFleet {
    private static final SocketAddress STORE = new SocketAddress("10.9.9.9", 8_169);
    private static final long MAX_LATENCY_MILLIS = 4;
    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(2);
    private static final double DATAGRAM_LOSS = 0.01;
    private static final int SEED_NODES = 3;
    private static final long START_SPREAD_MILLIS = 300;
    private static final long READINESS_CHECK_INTERVAL_MILLIS = 20;
    private static final long STORE_CHECK_INTERVAL_MILLIS = 1_000;
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(70);

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor executor = new ManualExecutor(clock);
    private final SplittableRandom random;
    private final ChangeLimits limits;
    private final FakeStore store = new FakeStore(clock);
    private final List<Node> nodes = new ArrayList<>();
    private final Map<SocketAddress, Node> nodesByAddress = new HashMap<>();
    private Predicate<Node> storeServes = node -> true;
    private Link storeFailure = Link.REFUSING;
    private Duration storeMaxDelay = Duration.ZERO;
    private long storeReads;
    private long relayReads;
    private long lists;

    RelayFleet(int size, int zones, long seed) {
        this(new FleetShape(size, zones, DEFAULT_LIMIT, DEFAULT_LIMIT), seed);
    }

    RelayFleet(FleetShape shape, long seed) {
        this(shape, seed, HEARTBEAT_INTERVAL);
    }

    RelayFleet(FleetShape shape, long seed, Duration heartbeatInterval) {
        limits = new ChangeLimits(shape.apply());
        random = new SplittableRandom(seed);
        store.put("op/config", StoreDocuments.configuration(1));
        for (int i = 0; i < shape.size(); i++) {
            Node node = new Node(i, "zone-" + i % shape.zones());
            nodes.add(node);
            nodesByAddress.put(node.address, node);
        }
        nodes.forEach(
                node -> executor.schedule(node::start, random.nextLong(START_SPREAD_MILLIS), TimeUnit.MILLISECONDS));
        executor.scheduleWithFixedDelay(
                () -> store.put("servers/i-1", StoreDocuments.registration(clock.nowNanos())),
                0,
                heartbeatInterval.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private List<SocketAddress> seeds() {
        return nodes.stream().limit(SEED_NODES).map(node -> node.address).toList();
    }

    void advance(Duration duration) {
        executor.advance(duration);
    }

    /** Runs a task after a time. */
    void after(Duration delay, Runnable task) {
        executor.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    FakeStore store() {
        return store;
    }

    /** Delays all that the store receives by up to a time. */
    void slowDownStore(Duration maxDelay) {
        storeMaxDelay = maxDelay;
    }

    /** Returns the number of reads that nodes have sent to the store, served or not. */
    long storeReads() {
        return storeReads;
    }

    /** Returns the number of reads that nodes have sent to each other. */
    long relayReads() {
        return relayReads;
    }

    /** Returns the number of reads of full lists, of the store and of relays. */
    long lists() {
        return lists;
    }

    List<Node> nodes() {
        return nodes;
    }

    /** Makes the store fail for all nodes but those that it serves. */
    void storeServes(Predicate<Node> served, Link failure) {
        storeServes = served;
        storeFailure = failure;
    }

    /** Confirms a version, as the store does to the operator. */
    void confirm(long version) {
        store.put("op/config", StoreDocuments.configuration(version));
    }

    /** Writes a configuration that the store should have rejected. */
    void putConfiguration(String value) {
        store.put("op/config", value);
    }

    /** Lists the nodes in the order in which the fleet reads the store through them. */
    List<Node> inReaderOrder() {
        return nodes.stream()
                .sorted((first, second) -> MemberTable.readerOrder().compare(first.self(), second.self()))
                .toList();
    }

    /** Gives each node a link of its own, through which its responses leave one after the other. */
    void limitLinks(long bytesPerSecond) {
        nodes.forEach(node -> node.outboundLink.limit(bytesPerSecond));
    }

    /** Confirms a version with many routes beside the one that {@link Node#hasRouteOf} looks for. */
    void confirmLarge(long version, int routes) {
        store.put("op/config", StoreDocuments.largeConfiguration(version, routes, random));
    }

    /** Delays all that these nodes receive by up to a time, as on a VM whose processor is busy. */
    void slowDown(Predicate<Node> slow, Duration maxDelay) {
        nodes.stream().filter(slow).forEach(node -> node.maxDelayMillis = maxDelay.toMillis());
    }

    private Link linkTo(Node caller, SocketAddress address) {
        if (caller.link != Link.SERVING || caller.confinedToZone && address.equals(STORE)) {
            return Link.SILENT;
        }
        if (address.equals(STORE)) {
            return storeServes.test(caller) ? Link.SERVING : storeFailure;
        }
        return linkTo(caller, nodesByAddress.get(address));
    }

    private static Link linkTo(Node caller, Node node) {
        boolean isCutOff =
                (caller.confinedToZone || node.confinedToZone) && !caller.zone().equals(node.zone());
        return isCutOff ? Link.SILENT : node.link;
    }

    /** Delivers a request after a latency; the connection breaks or falls silent as the link then does. */
    private CallHandle call(Node caller, SocketAddress address, RequestMessage request, Consumer<CallEnd> listener) {
        Exchange exchange = new Exchange(caller, address, listener);
        later(
                address.equals(STORE) ? storeMaxDelay.toMillis() : nodesByAddress.get(address).maxDelayMillis,
                () -> exchange.deliver(request));
        return exchange::cancel;
    }

    private void later(long maxDelayMillis, Runnable task) {
        later(maxDelayMillis, 0, task);
    }

    private void later(long maxDelayMillis, long transferMillis, Runnable task) {
        long delayMillis = maxDelayMillis == 0 ? 0 : random.nextLong(maxDelayMillis);
        executor.schedule(
                task, 1 + random.nextLong(MAX_LATENCY_MILLIS) + delayMillis + transferMillis, TimeUnit.MILLISECONDS);
    }

    /** One request and its response. */
    private final class Exchange implements Reply {
        private final Node caller;
        private final SocketAddress address;
        private final int incarnation;
        private final Consumer<CallEnd> listener;
        private Runnable callerGone = () -> {};
        private boolean ended;
        private boolean sent;

        Exchange(Node caller, SocketAddress address, Consumer<CallEnd> listener) {
            this.caller = caller;
            this.address = address;
            this.incarnation = address.equals(STORE) ? 0 : nodesByAddress.get(address).incarnation;
            this.listener = listener;
        }

        void deliver(RequestMessage request) {
            if (address.equals(STORE)) {
                storeReads++;
            } else {
                relayReads++;
            }
            if (request.path().endsWith("kv-range")) {
                lists++;
            }
            switch (linkTo(caller, address)) {
                case SERVING -> service().handle(request, this);
                case REJECTING -> send(store.rejection());
                case REFUSING -> end(new CallEnd.NotSent("connection refused"));
                default -> {
                    // No response.
                }
            }
        }

        private HttpService service() {
            return address.equals(STORE) ? store : nodesByAddress.get(address).relay;
        }

        @Override
        public void send(ResponseMessage response) {
            if (!sent) {
                sent = true;
                later(caller.maxDelayMillis, transferMillis(response.body().length), () -> {
                    Link link = linkTo(caller, address);
                    if (link == Link.SERVING || link == Link.REJECTING) {
                        end(new CallEnd.Answered(response));
                    } else if (link == Link.REFUSING) {
                        end(new CallEnd.Broken("connection reset"));
                    }
                });
            }
        }

        private long transferMillis(int bytes) {
            return address.equals(STORE)
                    ? 0
                    : nodesByAddress.get(address).outboundLink.transferMillis(bytes, clock.nowNanos());
        }

        private void end(CallEnd result) {
            if (!ended) {
                ended = true;
                listener.accept(result);
            }
        }

        void cancel() {
            ended = true;
            later(0, callerGone);
        }

        @Override
        public void onCallerGone(Runnable action) {
            callerGone = action;
        }

        @Override
        public ScheduledExecutorService worker() {
            return executor;
        }
    }

    /** A node: what it knows of the others, its feed and its relay. */
    final class Node {
        private final SocketAddress address;
        private final AvailabilityZoneId zone;
        private MemberTable table;
        private VersionRecorder recorder = new VersionRecorder();
        private int incarnation;
        private Link link = Link.SILENT;
        private boolean confinedToZone;
        private long maxDelayMillis;
        private final OutboundLink outboundLink = new OutboundLink();
        private long undisturbedSinceNanos;
        private NodeLifetime lifetime = new NodeLifetime(executor);
        private Gossip gossip;
        private StoreFeed feed;
        private FeedRelay relay;

        Node(int index, String zone) {
            address = new SocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 7_000);
            this.zone = new AvailabilityZoneId(zone);
            table = createTable();
        }

        private MemberTable createTable() {
            Member self = new Member(
                    address,
                    new SocketAddress(address.host(), 8_000),
                    zone,
                    random.nextInt(),
                    false,
                    false,
                    false,
                    clock.nowNanos());
            return new MemberTable(self, clock, EventLog.none());
        }

        /** Starts the node, again with nothing known if it ran before. */
        void start() {
            lifetime.close();
            lifetime = new NodeLifetime(executor);
            incarnation++;
            link = Link.SERVING;
            undisturbedSinceNanos = clock.nowNanos();
            recorder = new VersionRecorder();
            table = createTable();
            BalancingRules rules = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));
            UpstreamTable upstreams =
                    new UpstreamTable(zone, table.ownership(), rules, new ConfigurationHolder(), clock, random.split());
            gossip = new Gossip(
                    table, upstreams, new CrashSuspects(clock), RelayFleet.this::seeds, lifetime, random.split());
            StoreClient client = new StoreClient(
                    (target, request, options, listener) -> call(this, target, request, listener),
                    limits,
                    lifetime,
                    EventLog.none());
            ReaderTreeSelector sources = new ReaderTreeSelector(STORE, table, clock, random.split());
            feed = new StoreFeed(
                    sources,
                    client,
                    DocumentDecoder::decode,
                    recorder,
                    limits,
                    lifetime,
                    clock,
                    random.split(),
                    EventLog.none());
            relay = new FeedRelay(feed);
            feed.onNews(source -> gossip.announceNews(source.isStore()));
            feed.start();
            new StoreProbes(
                            feed,
                            sources.store(),
                            sources::position,
                            limits,
                            lifetime,
                            clock,
                            random.split(),
                            EventLog.none())
                    .start();
            CatchUp catchUp = new CatchUp(feed, limits, lifetime);
            gossip.describeReplica(feed::replicaState);
            gossip.onReplicaState(catchUp::compare);
            int started = incarnation;
            gossip.start((message, recipients) -> send(started, message, recipients));
            lifetime.scheduleWithFixedDelay(
                    this::checkReadiness,
                    READINESS_CHECK_INTERVAL_MILLIS,
                    READINESS_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            lifetime.scheduleWithFixedDelay(
                    this::publishStoreContact,
                    STORE_CHECK_INTERVAL_MILLIS,
                    STORE_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        private void checkReadiness() {
            if (!table.self().ready() && feed.isComplete()) {
                table.updateSelf(true, table.self().leaving(), feed.hasStoreContact());
                gossip.broadcast();
            }
        }

        private void publishStoreContact() {
            table.updateSelf(table.self().ready(), table.self().leaving(), feed.hasStoreContact());
        }

        private void send(int sender, GossipMessage message, Collection<SocketAddress> recipients) {
            for (SocketAddress recipient : recipients) {
                Node receiver = nodesByAddress.get(recipient);
                int started = receiver.incarnation;
                if (sender == incarnation
                        && link == Link.SERVING
                        && linkTo(this, receiver) == Link.SERVING
                        && random.nextDouble() >= DATAGRAM_LOSS) {
                    later(receiver.maxDelayMillis, () -> receiver.receive(started, address, message));
                }
            }
        }

        private void receive(int receiver, SocketAddress from, GossipMessage message) {
            if (receiver == incarnation && link == Link.SERVING) {
                gossip.receive(from, message);
            }
        }

        /** Ends the node's part in the fleet: others get no response, or a refused connection. */
        void fail(Link failure) {
            link = failure;
            undisturbedSinceNanos = clock.nowNanos();
            if (failure == Link.REFUSING) {
                lifetime.close();
            }
        }

        /** Ends the process with its VM: others get no response. */
        void losePower() {
            fail(Link.SILENT);
            lifetime.close();
        }

        /** Starts the node again after a time. */
        void startAfter(Duration delay) {
            executor.schedule(this::start, delay.toMillis(), TimeUnit.MILLISECONDS);
        }

        /** Ends a cut of the node from all others. */
        void reconnect() {
            link = Link.SERVING;
            undisturbedSinceNanos = clock.nowNanos();
        }

        /** Cuts the node off from the store and the nodes of other zones. */
        void confineToZone() {
            confinedToZone = true;
        }

        void leave() {
            table.updateSelf(true, true, false);
        }

        boolean isInTouch() {
            return link == Link.SERVING && !confinedToZone && !table.self().leaving();
        }

        /** Returns whether nothing has happened to the node itself for a time. */
        boolean isInTouchFor(Duration duration) {
            return isInTouch() && clock.nowNanos() - undisturbedSinceNanos >= duration.toNanos();
        }

        Member self() {
            return table.self();
        }

        String zone() {
            return zone.value();
        }

        VersionRecorder recorder() {
            return recorder;
        }

        List<Long> versions() {
            return recorder.versions();
        }

        /** Returns whether the newest configuration has the route that only this version has. */
        boolean hasRouteOf(long version) {
            return recorder.hasRouteOf(version);
        }

        long version() {
            return versions().isEmpty() ? 0 : versions().get(versions().size() - 1);
        }

        @Override
        public String toString() {
            return zone() + "/" + address.host();
        }
    }
}
