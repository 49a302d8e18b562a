package org.turmericspan.caps;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/** Tests what a caller of the gate is told. */
class CapNodeTest {
    private static final Duration SETTLED = Duration.ofSeconds(30);
    private static final Duration ROUND_TRIPS = Duration.ofMillis(50);
    private static final int NODES = 8;

    private final InMemoryFleet fleet = new InMemoryFleet(InMemoryFleet.LIMITS, 1, Duration.ofMillis(100));
    private final Tenant tenant = Tenants.tenant("t", 10, 10);
    private final List<CapDecision> decisions = new ArrayList<>();

    private void start(int nodes) {
        fleet.setDirectory(new TenantDirectory(List.of(tenant)));
        for (int i = 0; i < nodes; i++) {
            fleet.add(i % 4);
        }
        fleet.run(SETTLED);
    }

    private List<CapDecision> decide(int node, int requests) {
        decisions.clear();
        for (int i = 0; i < requests; i++) {
            fleet.nodes().get(node).caps().admit(tenant, decisions::add);
        }
        fleet.run(ROUND_TRIPS);
        return decisions;
    }

    @Test
    void requestsWithinTheCapAreGrantedByAnotherNode() {
        start(NODES);
        assertThat(decide(0, 5)).hasSize(5).allMatch(CapDecision::isAdmitted);
        assertThat(decisions.get(0).grantor()).startsWith("10.0.0.");
    }

    @Test
    void requestsOverTheCapAreToldWhenToReturnOneAfterTheOther() {
        start(NODES);
        List<CapDecision> refused = decide(0, 200).stream()
                .filter(decision -> !decision.isAdmitted())
                .toList();
        assertThat(refused)
                .hasSizeGreaterThan(100)
                .allMatch(decision -> decision.outcome() == CapDecision.Outcome.OVER_CAP)
                .allMatch(decision -> decision.retryAfterMillis() >= 1 && decision.retryAfterMillis() <= 2_000);
        assertThat(refused.stream().map(CapDecision::retryAfterMillis).distinct())
                .hasSizeGreaterThan(10);
    }

    @Test
    void requestsOverTheCapCostNoMessagesEach() {
        start(NODES);
        decide(0, 200);
        fleet.forgetFigures();
        for (int i = 0; i < 1_000; i++) {
            fleet.nodes().get(0).caps().admit(tenant, decision -> {});
            fleet.run(Duration.ofMillis(1));
        }
        // Each of the four shards is asked again when it gains a permit, about three times a second.
        assertThat(fleet.asks()).isLessThan(50);
    }

    @Test
    void silentHoldersLeaveRequestsUndecidedInTime() {
        start(NODES);
        int asker = indexOfNodeWithoutShard();
        fleet.cut((first, second) -> false);
        fleet.nodes().get(asker).request("t");
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.count(CapDecision.Outcome.UNDECIDED)).isEqualTo(1);
        assertThat(fleet.maxWaitNanos()).isLessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(350));
    }

    private int indexOfNodeWithoutShard() {
        return fleet.nodes().stream()
                .filter(node -> node.caps().describe().stream().noneMatch(line -> line.contains("level=")))
                .findFirst()
                .orElseThrow()
                .index();
    }

    @Test
    void oneSilentHolderCostsOneTimeOut() {
        start(NODES);
        int asker = indexOfNodeWithoutShard();
        fleet.nodes().stream()
                .filter(node -> node.index() % 4 == asker % 4 && node.index() != asker)
                .forEach(InMemoryFleet.Node::kill);
        fleet.nodes().get(asker).request("t");
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.count(CapDecision.Outcome.GRANTED)).isEqualTo(1);
        assertThat(fleet.maxWaitNanos()).isLessThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(110));
    }

    @Test
    void nodeThatKnowsNoOtherGrantsNoMoreThanOneShard() {
        start(1);
        long admitted = decide(0, 100).stream().filter(CapDecision::isAdmitted).count();
        assertThat(admitted).isBetween(1L, 7L);
    }

    @Test
    void nodeThatHasJustStartedGrantsNothingOfItsOwn() {
        fleet.setDirectory(new TenantDirectory(List.of(tenant)));
        fleet.add(0);
        fleet.run(Duration.ofSeconds(2));
        assertThat(decide(0, 5)).noneMatch(CapDecision::isAdmitted);
    }

    @Test
    void nodeThatRestartsOutOfTouchGrantsNothing() {
        start(NODES);
        fleet.cut((first, second) -> first == second);
        fleet.nodes().get(0).kill();
        fleet.nodes().get(0).start();
        fleet.run(Duration.ofSeconds(10));
        assertThat(decide(0, 5)).noneMatch(CapDecision::isAdmitted);
    }

    @Test
    void nodeThatRestartsInTouchGrantsAgain() {
        start(NODES);
        fleet.nodes().forEach(InMemoryFleet.Node::kill);
        fleet.nodes().subList(1, NODES).forEach(InMemoryFleet.Node::start);
        fleet.nodes().get(0).start();
        fleet.nodes().get(0).caps().establish();
        fleet.run(SETTLED);
        assertThat(decide(1, 12)).allMatch(CapDecision::isAdmitted);
    }

    @Test
    void shardsOfTenantThatLosesAndRegainsItsCapBeginEmpty() {
        start(NODES);
        fleet.setDirectory(Tenants.many(1, 1, 1));
        fleet.run(Duration.ofSeconds(3));
        fleet.setDirectory(new TenantDirectory(List.of(tenant)));
        fleet.nodes().forEach(node -> node.caps().refresh());
        assertThat(decide(0, 20)).noneMatch(CapDecision::isAdmitted);
    }

    @Test
    void holderWithoutCapInItsConfigurationLeavesNoneToAsk() {
        start(NODES);
        fleet.setDirectory(Tenants.many(1, 1, 1));
        assertThat(decide(0, 1))
                .singleElement()
                .matches(decision -> decision.outcome() == CapDecision.Outcome.UNDECIDED);
    }

    @Test
    void stateNamesHoldersAndLevels() {
        start(NODES);
        List<String> lines = new ArrayList<>();
        fleet.nodes().forEach(node -> lines.addAll(node.caps().describe()));
        assertThat(lines).hasSize(NODES).allMatch(line -> line.startsWith("t rate=10.0 burst=10.0 holders=[10.0.0."));
        assertThat(lines).filteredOn(line -> line.contains(" level=")).hasSize(4);
    }
}
