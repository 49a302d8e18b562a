package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** To whom a node tells at once that its replica of the store has news, and what every message tells of it. */
class NewsTest {
    private static final int ZONES = 6;
    private static final int SIZE = 152;

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor executor = new ManualExecutor(clock);
    private final MemberTable members = new MemberTable(member(0), clock, EventLog.none());
    private final List<SocketAddress> recipients = new ArrayList<>();
    private final List<ReplicaState> sent = new ArrayList<>();
    private final Gossip gossip =
            new Gossip(members, upstreams(), new CrashSuspects(clock), List::of, executor, new SplittableRandom(1));

    private Member member(int index) {
        SocketAddress address = new SocketAddress("10.0." + index / 200 + "." + (1 + index % 200), 7_000);
        return new Member(
                address,
                new SocketAddress(address.host(), 8_000),
                new AvailabilityZoneId("zone-" + index % ZONES),
                index,
                true,
                false,
                false,
                clock.nowNanos());
    }

    private UpstreamTable upstreams() {
        BalancingRules rules = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));
        return new UpstreamTable(
                new AvailabilityZoneId("zone-0"),
                members.ownership(),
                rules,
                new ConfigurationHolder(),
                clock,
                new SplittableRandom(1));
    }

    private void start() {
        List<Member> others = new ArrayList<>();
        for (int i = 1; i < SIZE; i++) {
            others.add(member(i));
        }
        members.mergeAll(others);
        members.detectFailures();
        gossip.describeReplica(() -> new ReplicaState(new StorePosition(0, 7), new StorePosition(0, 3), 45, 0));
        gossip.start((message, addresses) -> {
            sent.add(message.replica());
            recipients.addAll(addresses);
        });
        executor.advance(Duration.ofMillis(1));
        recipients.clear();
    }

    private Map<String, Integer> recipientsByZone() {
        Map<SocketAddress, String> zones = new HashMap<>();
        for (int i = 0; i < SIZE; i++) {
            zones.put(member(i).address(), "zone-" + i % ZONES);
        }
        Map<String, Integer> counts = new HashMap<>();
        recipients.forEach(address -> counts.merge(zones.get(address), 1, Integer::sum));
        return counts;
    }

    @Test
    void newsFromTheStoreIsToldToSomeNodesOfEachZone() {
        start();
        gossip.announceNews(true);
        assertThat(recipientsByZone()).hasSize(ZONES).containsValue(3).doesNotContainValue(4);
        assertThat(recipients)
                .doesNotHaveDuplicates()
                .doesNotContain(members.self().address());
    }

    @Test
    void newsFromAnotherNodeIsToldWithinTheZone() {
        start();
        gossip.announceNews(false);
        assertThat(recipientsByZone()).isEqualTo(Map.of("zone-0", 4));
    }

    @Test
    void everyMessageTellsTheStateOfTheReplica() {
        start();
        executor.advance(Duration.ofSeconds(5));
        gossip.broadcast();
        assertThat(sent)
                .hasSizeGreaterThan(5)
                .allMatch(new ReplicaState(new StorePosition(0, 7), new StorePosition(0, 3), 45, 0)::equals);
    }

    @Test
    void stateOfTheSendersReplicaIsPassedOn() {
        start();
        Map<SocketAddress, ReplicaState> received = new HashMap<>();
        gossip.onReplicaState(received::put);
        Member sender = member(9);
        ReplicaState state = new ReplicaState(new StorePosition(0, 8), new StorePosition(0, 2), 10, 0);
        gossip.receive(sender.address(), new GossipMessage(List.of(sender), List.of(), List.of(), state));
        assertThat(received).isEqualTo(Map.of(sender.address(), state));
    }
}
