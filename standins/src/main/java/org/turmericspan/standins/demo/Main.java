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
import org.turmericspan.heads.StrictHeads;
import org.turmericspan.standins.fleet.ChildProcess;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Entry point of {@code bin/demo}. It leaves no process running, even when it is interrupted. */
public final class Main {
    private static final String ZONE = "zone-b";
    private static final int NODES = 4;
    private static final int ORDERING_UPSTREAMS = 8;
    private static final int MIXING_UPSTREAMS = 4;
    private static final int CALLERS_PER_SERVICE = 4;
    private static final Duration PHASE_DURATION = Duration.ofSeconds(4);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(1);
    private static final Duration THINK_TIME = Duration.ofMillis(20);
    private static final Duration CONFIGURATION_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);
    private static final int EXIT_FAILED = 1;

    private final Fleet fleet;
    private final AtomicReference<Phase> phase = new AtomicReference<>();
    private final CountDownLatch neverReleased = new CountDownLatch(1);
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
        boolean hasPassed;
        FleetPlan plan = FleetPlan.simple(NODES, ORDERING_UPSTREAMS)
                .with(new FleetPlan.ServicePlan("mixing", MIXING_UPSTREAMS, List.of()));
        try (Fleet fleet = Fleet.start(plan)) {
            hasPassed = new Main(fleet).run();
        }
        System.exit(hasPassed ? 0 : EXIT_FAILED);
    }

    private boolean run() throws InterruptedException {
        OkHttpClient client = new OkHttpClient.Builder()
                .callTimeout(CALL_TIMEOUT)
                .addNetworkInterceptor(new StrictHeads())
                .build();
        startCallers(client);
        DemoTable table = new DemoTable(System.out);
        table.printHeader();
        table.printRows(runPhase("all zones in"), requestsStartedIn(ZONE));
        fleet.setZone(ZONE, false);
        fleet.awaitInForce(CONFIGURATION_TIMEOUT);
        pause(SETTLE_TIME);
        long startedBeforeOut = requestsStartedIn(ZONE);
        table.printRows(runPhase(ZONE + " out"), requestsStartedIn(ZONE) - startedBeforeOut);
        boolean isZoneUnused = requestsStartedIn(ZONE) == startedBeforeOut;
        fleet.setZone(ZONE, true);
        fleet.awaitInForce(CONFIGURATION_TIMEOUT);
        long startedBeforeReturn = requestsStartedIn(ZONE);
        table.printRows(runPhase(ZONE + " back"), requestsStartedIn(ZONE) - startedBeforeReturn);
        stopCallers();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
        boolean hasNoRepeatedOrder = ordersRunTwice() == 0;
        table.printCheck("no new work in " + ZONE + " while it was out", isZoneUnused);
        table.printCheck("no order ran twice", hasNoRepeatedOrder);
        table.printCheck("every lookup was answered", table.allLookupsSucceeded());
        return isZoneUnused && hasNoRepeatedOrder && table.allLookupsSucceeded();
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
        pause(PHASE_DURATION);
        phase.set(null);
        pause(SETTLE_TIME);
        return current;
    }

    private void pause(Duration duration) throws InterruptedException {
        neverReleased.await(duration.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void stopCallers() throws InterruptedException {
        callers.shutdown();
        callers.awaitTermination(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private long requestsStartedIn(String zone) {
        JsonNode statistics = fleet.witness();
        long started = 0;
        for (FleetUpstream upstream : fleet.upstreams()) {
            if (upstream.zone().equals(zone)) {
                started += statistics
                        .path(Integer.toString(upstream.port()))
                        .path("started")
                        .asLong();
            }
        }
        return started;
    }

    private long ordersRunTwice() {
        long duplicates = 0;
        for (JsonNode runs : fleet.http().getJson(fleet.upstreamControlUrl() + "/control/orders")) {
            if (runs.asInt() > 1) {
                duplicates++;
            }
        }
        return duplicates;
    }
}
