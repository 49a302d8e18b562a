package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.turmericspan.entry.PersistentCaller.Exchange;
import org.turmericspan.entry.SoakCallers.CompletedCall;
import org.turmericspan.entry.SoakCallers.NodeExchange;

/**
 * Runs nodes as processes under overlapping faults drawn from a seed, and checks the responses of callers against the
 * executions on the servers. {@code bin/soak} runs it with other seeds and durations.
 */
class EntrySoakTest {
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    /**
     * Maximum time from the start of draining to the last request of a server: the configured limit, plus the longest
     * faults, which may delay the update.
     */
    private static final Duration MAX_DRAIN = Duration.ofSeconds(2 + 2 * 2 + 2);
    /** Maximum time within which the fleet must serve again after the faults. */
    private static final Duration MAX_RECOVERY = Duration.ofSeconds(15);

    /** Time without a disturbance after which the limit of changes holds. */
    private static final Duration CONTACT = Duration.ofSeconds(3);
    /** Time after its confirmation within which a change must be in force on each node. */
    private static final Duration MAX_CHANGE = Duration.ofSeconds(2);

    private static final int POLL_MILLIS = 10;
    private static final int RECOVERED_REQUESTS = 40;
    private static final int FIRST_PORT = 21_000;
    private static final int PORTS_PER_FLEET = 8;
    private static final int PORT_SETS = 500;

    /**
     * Seeds that once failed. With each, a node received SIGTERM while it was suspended by SIGSTOP. The only thread
     * that ended faults waited for the exit of the node and so never resumed it, which left a suspended process behind.
     */
    private static final long[] FAILED_ONCE = {25, 31, 39};

    static LongStream seeds() {
        String[] bounds = System.getProperty("soak.seeds", "1-2").split("-");
        LongStream range = LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
        return LongStream.concat(range, LongStream.of(FAILED_ONCE)).distinct();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void executionGuaranteesHoldUnderFaults(long seed) throws Exception {
        Duration duration = Duration.ofSeconds(Long.getLong("soak.seconds", 8));
        int port = FIRST_PORT + (int) ((ProcessHandle.current().pid() + seed) % PORT_SETS) * PORTS_PER_FLEET;
        try (SoakFleet fleet = new SoakFleet(port)) {
            awaitServing(fleet, "start");
            SoakCallers callers = new SoakCallers(fleet, seed);
            SoakFaults faults = new SoakFaults(fleet, seed);
            callers.start();
            faults.run(duration);
            callers.stop();
            String context = "seed " + seed + ", " + callers.statuses() + ", "
                    + callers.exchanges().size() + " on kept connections, " + callers.servedAhead()
                    + " served of those sent ahead, " + faults.injected();
            System.out.println("soak: " + context);
            callers.calls().forEach(call -> check(fleet, call, context));
            callers.exchanges().forEach(exchange -> check(fleet, faults, exchange, context));
            assertThat(callers.steadyKeyStatuses())
                    .as("a key that is held is never unknown, " + context)
                    .contains(200)
                    .doesNotContain(401);
            checkTenants(fleet, context);
            assertThat(callers.servedAhead()).as(context).isPositive();
            for (SoakFaults.DrainedServer drained : faults.drained()) {
                checkDrained(faults, drained, context);
            }
            awaitServing(fleet, context);
            serveAll(fleet, context);
            checkNewestVersion(fleet, context);
        }
    }

    private static void check(SoakFleet fleet, CompletedCall call, String context) {
        int runs = fleet.runsOf(call.request());
        int status = call.answer().status();
        if (!call.idempotent()) {
            assertThat(runs).as("runs of " + call + ", " + context).isLessThanOrEqualTo(1);
        }
        if (!call.idempotent() && NOT_RUN_STATUSES.contains(status)) {
            assertThat(runs)
                    .as("runs of a request reported as not run, " + call + ", " + context)
                    .isZero();
        }
        if (status == 200) {
            assertThat(runs)
                    .as("runs of a served request, " + call + ", " + context)
                    .isPositive();
            assertThat(call.answer().requestId()).as(context).isEqualTo(call.request());
        }
        assertThat(status).as("every route is configured, " + context).isNotEqualTo(404);
    }

    /** Checks that a node loses no request that it passed on, except around an unplanned disruption. */
    private static void check(SoakFleet fleet, SoakFaults faults, NodeExchange sent, String context) {
        Exchange exchange = sent.exchange();
        int runs = fleet.runsOf(exchange.id());
        if (!sent.idempotent()) {
            assertThat(runs).as("runs of " + sent + ", " + context).isLessThanOrEqualTo(1);
        }
        if (!sent.idempotent() && NOT_RUN_STATUSES.contains(exchange.status())) {
            assertThat(runs)
                    .as("runs of a request reported as not run, " + sent + ", " + context)
                    .isZero();
        }
        if (exchange.status() == 200) {
            assertThat(exchange.answeredId())
                    .as("response to the own request, " + sent + ", " + context)
                    .isEqualTo(exchange.id());
        }
        if (exchange.isUnanswered() && !faults.isDisrupted(sent.node(), exchange.sentNanos(), exchange.endNanos())) {
            assertThat(runs)
                    .as("runs of a lost request, " + sent + ", " + context)
                    .isZero();
        }
    }

    private static void checkDrained(SoakFaults faults, SoakFaults.DrainedServer drained, String context) {
        long drainNanos = drained.drainNanos();
        assertThat(drained.registered().server().runTimesNanos())
                .as("times of runs, draining since " + drainNanos + " ns, at drained "
                        + drained.registered().server().id() + ", " + context)
                .allMatch(runNanos -> runNanos - drainNanos < MAX_DRAIN.toNanos()
                        || faults.mayBeUnknown(drainNanos, runNanos, MAX_DRAIN));
    }

    /** Checks that each node serves a route of the newest version, and then that of a new one within the limit. */
    private static void checkNewestVersion(SoakFleet fleet, String context) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(CONTACT.toMillis());
        for (NodeProcess node : fleet.nodes()) {
            assertThat(servesNewest(fleet, node))
                    .as("route of the newest version at " + node + " after " + context)
                    .isTrue();
        }
        fleet.publishConfiguration();
        long endNanos = System.nanoTime() + MAX_CHANGE.toNanos();
        for (NodeProcess node : fleet.nodes()) {
            while (!servesNewest(fleet, node)) {
                assertThat(System.nanoTime())
                        .as("route of a new version at " + node + " after " + context)
                        .isLessThan(endNanos);
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private static boolean servesNewest(SoakFleet fleet, NodeProcess node) {
        return node.request("GET", fleet.newestPrefix() + "n", "n").status() == 200;
    }

    /** Checks that servers saw the tenant that holds the key of each request, and no key. */
    private static void checkTenants(SoakFleet fleet, String context) {
        fleet.servers().stream()
                .flatMap(registered -> registered.server().arrivals().stream())
                .filter(arrival -> arrival.path().startsWith("/keyed/"))
                .forEach(arrival -> {
                    String holder = arrival.path().endsWith(SoakFleet.STEADY_KEY)
                            ? SoakFleet.STEADY_TENANT
                            : SoakFleet.CHANGING_TENANT;
                    assertThat(arrival.headers().first("Turmericspan-Tenant-Id"))
                            .as("tenant of a request, " + context)
                            .hasValue(holder);
                    assertThat(arrival.headers().toString()).as(context).doesNotContain("secret");
                });
    }

    private static void awaitServing(SoakFleet fleet, String context) throws InterruptedException {
        long endNanos = System.nanoTime() + MAX_RECOVERY.toNanos();
        while (!fleet.nodes().stream().allMatch(node -> node.isReady() && serves(node, "w"))) {
            assertThat(System.nanoTime())
                    .as("all nodes serve again after " + context)
                    .isLessThan(endNanos);
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static boolean serves(NodeProcess node, String request) {
        return node.request("GET", "/safe/" + request, request).status() == 200;
    }

    private static void serveAll(SoakFleet fleet, String context) {
        for (int i = 0; i < RECOVERED_REQUESTS; i++) {
            NodeProcess node = fleet.nodes().get(i % fleet.nodes().size());
            assertThat(serves(node, "r-" + i)).as("served after " + context).isTrue();
        }
    }
}
