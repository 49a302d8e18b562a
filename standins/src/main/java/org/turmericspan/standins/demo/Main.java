package org.turmericspan.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import okhttp3.OkHttpClient;
import org.turmericspan.standins.fleet.ChildProcess;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Entry point of {@code bin/demo}. It leaves no process running, also when it is interrupted. */
public final class Main {
    private static final String ZONE = "zone-b";
    private static final int NODES = 4;
    private static final int ORDERING_UPSTREAMS = 8;
    private static final int MIXING_UPSTREAMS = 4;
    private static final int CALLERS_PER_SERVICE = 4;
    private static final Duration PHASE = Duration.ofSeconds(4);
    private static final Duration SETTLE = Duration.ofSeconds(1);
    private static final Duration THINK_TIME = Duration.ofMillis(20);
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int EXIT_FAILED = 1;

    private final Fleet fleet;
    private final AtomicReference<Phase> phase = new AtomicReference<>();
    private final CountDownLatch never = new CountDownLatch(1);
    private final ScheduledExecutorService callers = Executors.newScheduledThreadPool(2 * CALLERS_PER_SERVICE);

    private Main(Fleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Runs the demonstration.
     *
     * @param arguments not used
     * @throws InterruptedException when the main thread is interrupted
     */
    public static void main(String[] arguments) throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(ChildProcess::endAll, "end-children"));
        System.out.println("Starting a platform, 12 upstreams of 2 services in 4 availability zones, and 4 nodes ...");
        boolean isSound;
        FleetPlan plan = FleetPlan.simple(NODES, ORDERING_UPSTREAMS)
                .with(new FleetPlan.ServicePlan("mixing", MIXING_UPSTREAMS, List.of()));
        try (Fleet fleet = Fleet.start(plan)) {
            isSound = new Main(fleet).run();
        }
        System.exit(isSound ? 0 : EXIT_FAILED);
    }

    private boolean run() throws InterruptedException {
        OkHttpClient client =
                new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).build();
        startCallers(client);
        DemoTable table = new DemoTable(System.out);
        table.head();
        table.row(runPhase("all zones in"), startedIn(ZONE));
        fleet.setZone(ZONE, false);
        fleet.awaitInForce(IN_FORCE_LIMIT);
        pause(SETTLE);
        long before = startedIn(ZONE);
        table.row(runPhase(ZONE + " out"), startedIn(ZONE) - before);
        boolean isLeft = startedIn(ZONE) == before;
        fleet.setZone(ZONE, true);
        fleet.awaitInForce(IN_FORCE_LIMIT);
        long atReturn = startedIn(ZONE);
        table.row(runPhase(ZONE + " back"), startedIn(ZONE) - atReturn);
        stopCallers();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        boolean isOnce = ordersRunTwice() == 0;
        table.verdict("no new work in " + ZONE + " while it was out", isLeft);
        table.verdict("no order ran twice", isOnce);
        table.verdict("every lookup was answered", table.allLookupsAnswered());
        return isLeft && isOnce && table.allLookupsAnswered();
    }

    private void startCallers(OkHttpClient client) {
        for (String service : List.of("ordering", "mixing")) {
            for (int i = 0; i < CALLERS_PER_SERVICE; i++) {
                String nodeUrl = fleet.nodes().get(i % NODES).callerUrl();
                DemoCaller caller = new DemoCaller(client, service, service + "-" + i, nodeUrl, phase);
                callers.scheduleWithFixedDelay(caller, i, THINK_TIME.toMillis(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private Phase runPhase(String name) throws InterruptedException {
        Phase current = Phase.named(name);
        phase.set(current);
        pause(PHASE);
        phase.set(null);
        pause(SETTLE);
        return current;
    }

    private void pause(Duration span) throws InterruptedException {
        never.await(span.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void stopCallers() throws InterruptedException {
        callers.shutdown();
        callers.awaitTermination(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private long startedIn(String zone) {
        JsonNode witness = fleet.witness();
        long started = 0;
        for (FleetUpstream upstream : fleet.upstreams()) {
            if (upstream.zone().equals(zone)) {
                started += witness.path(Integer.toString(upstream.port()))
                        .path("started")
                        .asLong();
            }
        }
        return started;
    }

    private long ordersRunTwice() {
        long twice = 0;
        for (JsonNode runs : fleet.http().getJson(fleet.upstreamControlUrl() + "/control/orders")) {
            if (runs.asInt() > 1) {
                twice++;
            }
        }
        return twice;
    }

    /** Ends the processes that this one started. */
}
