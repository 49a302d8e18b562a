package org.turmericspan.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.standins.network.Link;
import org.turmericspan.standins.network.LinkFault;

/** Draws faults from a seed and injects them one after the other; they overlap, and each ends by itself. */
final class SoakFaults {
    private static final int TIMER_THREADS = 8;
    private static final int FIRST_PAUSE_MILLIS = 150;
    private static final int PAUSE_SPREAD_MILLIS = 600;
    private static final int FIRST_LENGTH_MILLIS = 200;
    private static final int LENGTH_SPREAD_MILLIS = 1_800;
    private static final LinkFault REFUSES = new LinkFault(true, false, Duration.ZERO, 0);
    private static final LinkFault SILENT = new LinkFault(false, true, Duration.ZERO, 0);
    private static final LinkFault SLOW = new LinkFault(false, false, Duration.ofMillis(60), 0);
    private static final long SLOW_WORK_MILLIS = 400;
    private static final long USUAL_WORK_MILLIS = 20;

    private final SoakFleet fleet;
    private final SplittableRandom random;
    /** Several threads, since the restart of a frozen node waits for the end of its freeze. */
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(TIMER_THREADS);

    private final List<Future<?>> ends = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();
    private final Set<NodeProcess> down = ConcurrentHashMap.newKeySet();
    private final List<Drained> drained = new ArrayList<>();
    private final List<Fault> kinds = List.of(
            this::killNode,
            this::freezeNode,
            this::stopNode,
            this::hangUpNode,
            this::cutServer,
            this::silenceServer,
            this::refuseAtServer,
            this::delayServer,
            this::slowServer,
            this::shedAtServer,
            this::drainServer,
            this::refuseAtStore,
            this::silenceStore,
            this::evacuateZone,
            this::publish);

    /** One kind of fault. */
    @FunctionalInterface
    private interface Fault {
        void inject(long lengthMillis) throws IOException, InterruptedException;
    }

    /** What ends a fault. */
    @FunctionalInterface
    private interface Ending {
        void run() throws IOException, InterruptedException;
    }

    /**
     * A server that was told to leave.
     *
     * @param member the server
     * @param atNanos when its leaving was published
     */
    record Drained(SoakFleet.Member member, long atNanos) {}

    SoakFaults(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new SplittableRandom(seed);
    }

    /** Injects faults for a while and waits until all have ended. */
    void run(Duration length) throws Exception {
        long endNanos = System.nanoTime() + length.toNanos();
        while (System.nanoTime() < endNanos) {
            TimeUnit.MILLISECONDS.sleep(FIRST_PAUSE_MILLIS + random.nextInt(PAUSE_SPREAD_MILLIS));
            long lengthMillis = FIRST_LENGTH_MILLIS + random.nextInt(LENGTH_SPREAD_MILLIS);
            kinds.get(random.nextInt(kinds.size())).inject(lengthMillis);
        }
        for (Future<?> end : ends) {
            end.get();
        }
        timer.shutdown();
    }

    List<String> injected() {
        return injected;
    }

    List<Drained> drained() {
        return drained;
    }

    private void note(String text, long lengthMillis) {
        injected.add(text + " " + lengthMillis + " ms");
    }

    private void after(long millis, Ending ending) {
        ends.add(timer.schedule(
                () -> {
                    ending.run();
                    return null;
                },
                millis,
                TimeUnit.MILLISECONDS));
    }

    private NodeProcess node() {
        return fleet.nodes().get(random.nextInt(fleet.nodes().size()));
    }

    private SoakFleet.Member server() {
        List<SoakFleet.Member> servers = fleet.servers();
        return servers.get(random.nextInt(servers.size()));
    }

    private void killNode(long lengthMillis) {
        NodeProcess node = node();
        if (!down.add(node)) {
            return;
        }
        note("kill " + node, lengthMillis);
        node.kill();
        after(lengthMillis, () -> restart(node));
    }

    private void restart(NodeProcess node) throws IOException, InterruptedException {
        node.awaitExit();
        node.start();
        down.remove(node);
    }

    private void freezeNode(long lengthMillis) throws IOException, InterruptedException {
        NodeProcess node = node();
        note("freeze " + node, lengthMillis);
        long pid = node.pid();
        NodeProcess.signal(pid, "STOP");
        after(lengthMillis, () -> NodeProcess.signal(pid, "CONT"));
    }

    private void stopNode(long lengthMillis) {
        NodeProcess node = node();
        if (!down.add(node)) {
            return;
        }
        note("terminate " + node, lengthMillis);
        node.terminate();
        after(lengthMillis, () -> restart(node));
    }

    private void hangUpNode(long lengthMillis) throws IOException, InterruptedException {
        NodeProcess node = node();
        note("hang up " + node, 0);
        if (node.isAlive() && node.isReady()) {
            node.signal("HUP");
        }
    }

    private void cutServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("cut " + member.server().id(), 0);
        member.link().cut();
    }

    private void silenceServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("silence open connections of " + member.server().id(), 0);
        member.link().silenceOpen();
    }

    private void refuseAtServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("refuse at " + member.server().id(), lengthMillis);
        fault(member.link(), REFUSES, lengthMillis);
    }

    private void delayServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("delay " + member.server().id(), lengthMillis);
        fault(member.link(), SLOW, lengthMillis);
    }

    private void fault(Link link, LinkFault kind, long lengthMillis) {
        link.setFault(kind);
        after(lengthMillis, () -> link.setFault(LinkFault.NONE));
    }

    private void slowServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("slow " + member.server().id(), lengthMillis);
        member.server().workFor(SLOW_WORK_MILLIS);
        after(lengthMillis, () -> member.server().workFor(USUAL_WORK_MILLIS));
    }

    private void shedAtServer(long lengthMillis) {
        SoakFleet.Member member = server();
        note("shed at " + member.server().id(), lengthMillis);
        member.server().shed(true);
        after(lengthMillis, () -> member.server().shed(false));
    }

    private void drainServer(long lengthMillis) throws IOException, InterruptedException {
        SoakFleet.Member member = server();
        note("drain " + member.server().id(), lengthMillis);
        fleet.addServer();
        fleet.drain(member);
        drained.add(new Drained(member, System.nanoTime()));
    }

    private void refuseAtStore(long lengthMillis) {
        note("store refuses", lengthMillis);
        fleet.platform().refuse(random.nextBoolean() ? 503 : 429);
        after(lengthMillis, () -> fleet.platform().refuse(0));
    }

    private void silenceStore(long lengthMillis) {
        note("store silent", lengthMillis);
        fleet.storeLink().silenceOpen();
        fault(fleet.storeLink(), SILENT, lengthMillis);
    }

    private void evacuateZone(long lengthMillis) {
        String zone = random.nextBoolean() ? "zone-a" : "zone-b";
        note("evacuate " + zone, lengthMillis);
        fleet.evacuate(zone, true);
        after(lengthMillis, () -> fleet.evacuate(zone, false));
    }

    private void publish(long lengthMillis) {
        note("publish", 0);
        fleet.publish();
    }
}
