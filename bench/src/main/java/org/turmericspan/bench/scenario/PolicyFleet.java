package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.load.HttpCalls;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LocatingCaller;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetPlan;

/** A fleet that runs one slot policy, with its own callers. */
final class PolicyFleet implements AutoCloseable {
    /** Service that the experiments call. */
    static final String SERVICE = "ordering";

    /** Slots of one upstream. */
    static final int SLOTS = 3;

    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-d");
    private static final String HEDGES = "hedges";
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final long MICROS_PER_MILLI = 1_000;

    private final String policy;
    private final Fleet fleet;
    private final HttpCalls calls = new HttpCalls();
    private final LocatingCaller caller;

    private PolicyFleet(String policy, Fleet fleet) {
        this.policy = policy;
        this.fleet = fleet;
        this.caller = new LocatingCaller(calls, fleet.nodes());
    }

    static PolicyFleet start(BenchSettings settings, String policy) {
        return start(settings, policy, !settings.preset().zoneDelay().isZero());
    }

    static PolicyFleet startProxied(BenchSettings settings, String policy) {
        return start(settings, policy, true);
    }

    private static PolicyFleet start(BenchSettings settings, String policy, boolean isProxied) {
        FleetPlan plan = new FleetPlan(
                ZONES,
                settings.nodes(),
                List.of(new FleetPlan.ServicePlan(SERVICE, settings.upstreams(), List.of())),
                isProxied,
                flags(policy));
        PolicyFleet fleet = new PolicyFleet(policy, Fleet.start(plan));
        fleet.setDelay(settings.preset().zoneDelay());
        return fleet;
    }

    String policy() {
        return policy;
    }

    Fleet fleet() {
        return fleet;
    }

    HttpCalls calls() {
        return calls;
    }

    LocatingCaller caller() {
        return caller;
    }

    /** Runs an unmeasured load, so that code is compiled, connections are open and upstreams are warm. */
    void warmUp(double ratePerSecond, Duration work) {
        fleet.warmUpstreams();
        OpenLoop.run(LoadPlan.lookups(SERVICE, ratePerSecond / 2, WARM_UP, work, 0), caller);
        OpenLoop.run(LoadPlan.lookups(SERVICE, ratePerSecond, WARM_UP, work, 0), caller);
    }

    /**
     * Returns the node flags of a policy; {@code hedges} stands for the policy {@code keepers} with hedged requests.
     */
    private static List<String> flags(String policy) {
        return policy.equals(HEDGES)
                ? List.of("--slot-policy", "keepers", "--repeat-policy", HEDGES)
                : List.of("--slot-policy", policy);
    }

    /** Computes the rate, in requests per second, that keeps a share of all slots busy. */
    static double rateFor(BenchSettings settings, double share, Duration work) {
        double slots = (double) settings.upstreams() * SLOTS;
        return share * slots * Duration.ofSeconds(1).toNanos() / work.toNanos();
    }

    @Override
    public void close() {
        calls.close();
        fleet.close();
    }

    private void setDelay(Duration delay) {
        if (delay.isZero()) {
            return;
        }
        long micros = delay.toNanos() / MICROS_PER_MILLI;
        fleet.upstreams().forEach(upstream -> delayLink(upstream.linkPort(), micros));
        fleet.nodes().forEach(node -> delayLink(node.peerLinkPort(), micros));
    }

    private void delayLink(int port, long micros) {
        fleet.http().post(fleet.proxyControlUrl() + "/control/fault?port=" + port + "&delay_us=" + micros);
    }
}
