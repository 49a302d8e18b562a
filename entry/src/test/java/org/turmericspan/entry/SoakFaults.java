package org.turmericspan.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.standins.network.Link;
import org.turmericspan.standins.network.LinkFault;

/** Draws faults from a seed and injects them one after another. Faults may overlap; each ends after its duration. */
final class SoakFaults {
    private static final int TIMER_THREADS = 8;
    /** Number of nodes that are stopped together. */
    private static final int SERIES = 2;

    private static final int MIN_PAUSE_MILLIS = 150;
    private static final int PAUSE_RANGE_MILLIS = 600;
    private static final int MIN_DURATION_MILLIS = 200;
    private static final int DURATION_RANGE_MILLIS = 1_800;
    private static final LinkFault REFUSE_CONNECTIONS = new LinkFault(true, false, Duration.ZERO, 0);
    private static final LinkFault NO_TRAFFIC = new LinkFault(false, true, Duration.ZERO, 0);
    private static final LinkFault DELAYED = new LinkFault(false, false, Duration.ofMillis(60), 0);
    /** Time around a kill or a suspension that counts as part of it. */
    private static final long DISRUPTION_MARGIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long SLOW_WORK_MILLIS = 400;
    private static final long NORMAL_WORK_MILLIS = 20;

    private final SoakFleet fleet;
    private final SplittableRandom random;
    /** Draws the series of stops, so that a seed draws the other faults as it did without them. */
    private final SplittableRandom seriesRandom;

    /** Draws when a key is taken away, likewise. */
    private final SplittableRandom keyRandom;

    /** Draws from a random stream of its own, likewise. */
    private final SoakRestorations restorations;

    /** Has several threads, since the restart of a suspended node blocks until another thread resumes the node. */
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

    private final List<Future<?>> faultEnds = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();
    private final Queue<Disruption> disruptions = new ConcurrentLinkedQueue<>();
    private final Queue<Long> interruptionsNanos = new ConcurrentLinkedQueue<>();
    private final Set<NodeProcess> stoppedNodes = ConcurrentHashMap.newKeySet();
    private final List<DrainedServer> drained = new ArrayList<>();
    private final List<FaultInjector> injectors = List.of(
            this::killNode,
            this::suspendNode,
            this::stopNode,
            this::sendHangUp,
            this::closeConnections,
            this::stopTrafficOnOpenConnections,
            this::refuseConnections,
            this::delayTraffic,
            this::slowExecution,
            this::shedRequests,
            this::drainServer,
            this::rejectStoreReads,
            this::stopStoreTraffic,
            this::evacuateZone,
            this::publishConfiguration);

    /** Injects one kind of fault. */
    @FunctionalInterface
    private interface FaultInjector {
        void inject(long durationMillis) throws IOException, InterruptedException;
    }

    /** Ends a fault. */
    @FunctionalInterface
    private interface FaultEnd {
        void run() throws IOException, InterruptedException;
    }

    /**
     * A server that was set to draining.
     *
     * @param registered the server
     * @param drainNanos time at which the draining state was published
     */
    record DrainedServer(SoakFleet.RegisteredServer registered, long drainNanos) {}

    /**
     * A kill or a suspension of a node, which excuses requests that it does not answer.
     *
     * @param node the node
     * @param startNanos time at which the disruption began
     * @param endNanos time at which the node had recovered
     */
    private record Disruption(NodeProcess node, long startNanos, long endNanos) {}

    SoakFaults(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new SplittableRandom(seed);
        this.seriesRandom = new SplittableRandom(~seed);
        this.keyRandom = new SplittableRandom(Long.reverse(seed));
        this.restorations = new SoakRestorations(fleet, new SplittableRandom(~Long.reverse(seed)));
    }

    /** Injects faults for a duration and waits until all have ended. */
    void run(Duration duration) throws Exception {
        long endNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(MIN_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS));
            long durationMillis = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
            injectors.get(random.nextInt(injectors.size())).inject(durationMillis);
            if (seriesRandom.nextInt(injectors.size()) == 0) {
                stopNodesInSeries(durationMillis);
            }
            if (keyRandom.nextInt(injectors.size()) == 0) {
                takeKey(durationMillis);
            }
            restoreStore(restorations.draw());
        }
        for (Future<?> end : faultEnds) {
            end.get();
        }
        timer.shutdown();
    }

    List<String> injected() {
        return injected;
    }

    /** Returns whether a node was killed or suspended at some time of an interval, or shortly before or after it. */
    boolean isDisrupted(NodeProcess node, long startNanos, long endNanos) {
        return disruptions.stream()
                .anyMatch(disruption -> disruption.node() == node
                        && disruption.startNanos() - endNanos <= 0
                        && startNanos - disruption.endNanos() <= 0);
    }

    /** Returns whether a change that was written to the store may be unknown to a node at a later time. */
    boolean mayBeUnknown(long writtenNanos, long atNanos, Duration limit) {
        boolean isInterrupted = interruptionsNanos.stream()
                .anyMatch(interruption -> interruption - writtenNanos >= 0 && interruption - atNanos <= 0);
        return restorations.mayBeUnknown(writtenNanos, atNanos, limit, isInterrupted);
    }

    private void recordDisruption(NodeProcess node, long durationMillis) {
        long nowNanos = System.nanoTime();
        interruptionsNanos.add(nowNanos);
        disruptions.add(new Disruption(
                node,
                nowNanos - DISRUPTION_MARGIN_NANOS,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis) + DISRUPTION_MARGIN_NANOS));
    }

    List<DrainedServer> drained() {
        return drained;
    }

    private void recordFault(String text, long durationMillis) {
        injected.add(text + " " + durationMillis + " ms");
    }

    private void scheduleEnd(long millis, FaultEnd faultEnd) {
        faultEnds.add(timer.schedule(
                () -> {
                    faultEnd.run();
                    return null;
                },
                millis,
                TimeUnit.MILLISECONDS));
    }

    private NodeProcess randomNode() {
        return fleet.nodes().get(random.nextInt(fleet.nodes().size()));
    }

    private SoakFleet.RegisteredServer randomServer() {
        List<SoakFleet.RegisteredServer> servers = fleet.servers();
        return servers.get(random.nextInt(servers.size()));
    }

    private void killNode(long durationMillis) {
        NodeProcess node = randomNode();
        if (!stoppedNodes.add(node)) {
            return;
        }
        recordFault("kill " + node, durationMillis);
        recordDisruption(node, durationMillis);
        node.kill();
        scheduleEnd(durationMillis, () -> restart(node));
    }

    private void restart(NodeProcess node) throws IOException, InterruptedException {
        node.awaitExit();
        interruptionsNanos.add(System.nanoTime());
        node.start();
        stoppedNodes.remove(node);
    }

    private void suspendNode(long durationMillis) throws IOException, InterruptedException {
        NodeProcess node = randomNode();
        recordFault("suspend " + node, durationMillis);
        recordDisruption(node, durationMillis);
        long pid = node.pid();
        NodeProcess.signal(pid, "STOP");
        scheduleEnd(durationMillis, () -> NodeProcess.signal(pid, "CONT"));
    }

    private void stopNode(long durationMillis) {
        NodeProcess node = randomNode();
        if (!stoppedNodes.add(node)) {
            return;
        }
        recordFault("terminate " + node, durationMillis);
        node.terminate();
        scheduleEnd(durationMillis, () -> restart(node));
    }

    /** Sends overlapping signals to a node, and stops the next while the first still stops. */
    private void stopNodesInSeries(long durationMillis) throws IOException, InterruptedException {
        int first = seriesRandom.nextInt(fleet.nodes().size());
        for (int i = 0; i < SERIES; i++) {
            NodeProcess node = fleet.nodes().get((first + i) % fleet.nodes().size());
            if (stoppedNodes.add(node)) {
                recordFault("send signals to " + node, durationMillis);
                if (node.isReady()) {
                    node.signal("HUP");
                }
                long pid = node.pid();
                node.terminate();
                scheduleEnd(durationMillis / 2, () -> NodeProcess.signal(pid, "TERM"));
                scheduleEnd(durationMillis, () -> restart(node));
            }
        }
    }

    private void sendHangUp(long durationMillis) throws IOException, InterruptedException {
        NodeProcess node = randomNode();
        recordFault("send SIGHUP to " + node, 0);
        if (node.isAlive() && node.isReady()) {
            node.signal("HUP");
        }
    }

    private void closeConnections(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("close connections of " + registered.server().id(), 0);
        registered.link().cut();
    }

    private void stopTrafficOnOpenConnections(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("stop traffic on open connections of " + registered.server().id(), 0);
        registered.link().silenceOpen();
    }

    private void refuseConnections(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("refuse connections to " + registered.server().id(), durationMillis);
        setLinkFault(registered.link(), REFUSE_CONNECTIONS, durationMillis);
    }

    private void delayTraffic(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("network delay of " + registered.server().id(), durationMillis);
        setLinkFault(registered.link(), DELAYED, durationMillis);
    }

    private void setLinkFault(Link link, LinkFault kind, long durationMillis) {
        link.setFault(kind);
        scheduleEnd(durationMillis, () -> link.setFault(LinkFault.NONE));
    }

    private void slowExecution(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("slow execution on " + registered.server().id(), durationMillis);
        registered.server().setWorkMillis(SLOW_WORK_MILLIS);
        scheduleEnd(durationMillis, () -> registered.server().setWorkMillis(NORMAL_WORK_MILLIS));
    }

    private void shedRequests(long durationMillis) {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("shedding of " + registered.server().id(), durationMillis);
        registered.server().setShedding(true);
        scheduleEnd(durationMillis, () -> registered.server().setShedding(false));
    }

    private void drainServer(long durationMillis) throws IOException, InterruptedException {
        SoakFleet.RegisteredServer registered = randomServer();
        recordFault("draining of " + registered.server().id(), durationMillis);
        fleet.addServer();
        fleet.drain(registered);
        drained.add(new DrainedServer(registered, System.nanoTime()));
    }

    private void rejectStoreReads(long durationMillis) {
        recordFault("store rejects reads", durationMillis);
        fleet.platform().rejectReads(random.nextBoolean() ? 503 : 429);
        scheduleEnd(durationMillis, () -> fleet.platform().rejectReads(0));
    }

    private void stopStoreTraffic(long durationMillis) {
        recordFault("store does not respond", durationMillis);
        fleet.storeLink().silenceOpen();
        setLinkFault(fleet.storeLink(), NO_TRAFFIC, durationMillis);
    }

    private void evacuateZone(long durationMillis) {
        String zone = random.nextBoolean() ? "zone-a" : "zone-b";
        recordFault("evacuation of " + zone, durationMillis);
        fleet.evacuate(zone, true);
        scheduleEnd(durationMillis, () -> fleet.evacuate(zone, false));
    }

    private void takeKey(long durationMillis) {
        recordFault("take a key away", durationMillis);
        fleet.takeKey(true);
        scheduleEnd(durationMillis, () -> fleet.takeKey(false));
    }

    private void restoreStore(List<SoakRestorations.Restoration> series) {
        if (!series.isEmpty()) {
            series.forEach(restoration -> injected.add(restoration.toString()));
            scheduleEnd(0, () -> restorations.run(series));
        }
    }

    private void publishConfiguration(long durationMillis) {
        recordFault("publish configuration", 0);
        fleet.publishConfiguration();
    }
}
