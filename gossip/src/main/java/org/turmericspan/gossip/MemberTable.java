package org.turmericspan.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.turmericspan.balancing.Ownership;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Nodes of the fleet, learned from gossip messages. A node is considered failed when no message of it was received by
 * any node within the failure timeout.
 */
public final class MemberTable {
    /**
     * Failure timeout for nodes that send to this node in every round: those of its own zone, if it has at most
     * {@link GossipPace#SAME_ZONE_FANOUT} others. Spans several gossip rounds to tolerate lost messages.
     */
    private static final long DIRECT_FAILURE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    /** Failure timeout for all other nodes, of which this node hears less often and through other nodes. */
    private static final long INDIRECT_FAILURE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /**
     * Failure timeout for nodes of other zones if zones are large, of which news takes seconds. The owners and readers
     * of a zone are nodes of it, and the directory uses {@link #heardWithin}.
     */
    private static final long REMOTE_FAILURE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(8_000);
    /** Time after the last message at which a node is removed and no longer counted in the fleet size. */
    private static final long DEAD_MEMBER_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int MAX_FIRST_INDEX = 0xffff;

    private static final String PART = "members";
    private static final Comparator<Member> BY_ADDRESS = (first, second) -> {
        int byHost = first.address().host().compareTo(second.address().host());
        return byHost != 0
                ? byHost
                : Integer.compare(first.address().port(), second.address().port());
    };

    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final Map<SocketAddress, Member> members = new HashMap<>();
    private final MonotonicClock clock;
    private final EventLog log;
    private int nextOtherIndex;
    private int nextZoneIndex;
    private volatile Member self;
    /** Number of other nodes of this node's zone that have not failed by the longer timeout. */
    private volatile int zoneSize;

    private volatile boolean ownershipEnabled;
    private volatile FleetSnapshot snapshot;

    /**
     * Creates a table that contains only this node.
     *
     * @param self this node
     * @param clock monotonic clock
     * @param log log for changes in the observed state of nodes
     */
    public MemberTable(Member self, MonotonicClock clock, EventLog log) {
        this.self = self;
        this.clock = clock;
        this.log = log;
        this.snapshot = new FleetSnapshot(List.of(self));
        // Nodes that select the same others at the same time would pass news on only once in each turn.
        int firstIndex = self.address().hashCode() & MAX_FIRST_INDEX;
        this.nextOtherIndex = firstIndex;
        this.nextZoneIndex = firstIndex;
    }

    /**
     * Updates the state that this node reports about itself.
     *
     * @param ready whether this node can serve calls
     * @param leaving whether this node is stopping
     * @param readsStore whether this node is connected to the platform's store
     */
    public void updateSelf(boolean ready, boolean leaving, boolean readsStore) {
        Member previous = self;
        self = new Member(
                previous.address(),
                previous.callerAddress(),
                previous.availabilityZone(),
                previous.incarnation(),
                ready,
                leaving,
                readsStore,
                clock.nowNanos());
        detectFailures();
    }

    /**
     * Returns this node.
     *
     * @return the state that this node reports about itself, as of now
     */
    public Member self() {
        return self.withHeardNanos(clock.nowNanos());
    }

    /**
     * Merges the nodes of a gossip message into this table.
     *
     * @param reported the nodes, starting with the sender
     * @return true when the sender was not known as alive before
     */
    public boolean mergeAll(Collection<Member> reported) {
        List<Event> events = new ArrayList<>();
        SocketAddress sender = reported.iterator().next().address();
        boolean isNewSender = lock.compute(() -> {
            Member previous = members.get(sender);
            reported.forEach(member -> merge(member, events));
            return previous == null || !isAlive(previous);
        });
        if (!events.isEmpty()) {
            detectFailures();
        }
        if (ownershipEnabled) {
            // Until this node has joined, it meets the whole fleet; one line tells of that then.
            events.forEach(log::write);
        }
        return isNewSender;
    }

    private void merge(Member received, List<Event> events) {
        if (received.address().equals(self.address())) {
            return;
        }
        Member previous = members.get(received.address());
        if (previous == null || previous.incarnation() != received.incarnation()) {
            if (previous == null || received.heardNanos() - previous.heardNanos() > 0) {
                members.put(received.address(), received);
                events.add(event("Node joined.", received));
            }
        } else if (received.heardNanos() - previous.heardNanos() > 0) {
            boolean leaving = previous.leaving() || received.leaving();
            if (received.ready() != previous.ready()) {
                events.add(event(received.ready() ? "Node is ready." : "Node is not ready.", received));
            }
            members.put(
                    received.address(),
                    new Member(
                            received.address(),
                            received.callerAddress(),
                            received.availabilityZone(),
                            received.incarnation(),
                            received.ready(),
                            leaving,
                            received.reading(),
                            received.heardNanos()));
            if (leaving && !previous.leaving()) {
                events.add(event("Node is leaving.", received));
            }
        }
    }

    private Event event(String message, Member member) {
        return Event.notice(PART, message)
                .with("address", member.address())
                .with("incarnation", Integer.toHexString(member.incarnation()))
                .with("ageMs", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - member.heardNanos()));
    }

    /** Updates the list of alive nodes and logs those that have failed. To be called several times per second. */
    public void detectFailures() {
        List<Event> events = new ArrayList<>();
        long nowNanos = clock.nowNanos();
        lock.run(() -> {
            members.values().removeIf(member -> nowNanos - member.heardNanos() > DEAD_MEMBER_RETENTION_NANOS);
            zoneSize = (int) members.values().stream()
                    .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                    .filter(member -> nowNanos - member.heardNanos() <= INDIRECT_FAILURE_TIMEOUT_NANOS)
                    .count();
            List<Member> alive = new ArrayList<>(
                    members.values().stream().filter(this::isAlive).toList());
            alive.add(self);
            alive.sort(BY_ADDRESS);
            FleetSnapshot previous = snapshot;
            if (!previous.hasSameMembers(alive)) {
                previous.alive().stream()
                        .filter(member -> alive.stream()
                                .noneMatch(other -> other.address().equals(member.address())))
                        .forEach(member -> events.add(event("Node failed by timeout.", member)));
                snapshot = new FleetSnapshot(alive);
            }
        });
        events.forEach(log::write);
    }

    private boolean isAlive(Member member) {
        return clock.nowNanos() - member.heardNanos() <= failureTimeoutNanos(member);
    }

    private long failureTimeoutNanos(Member member) {
        if (zoneSize <= GossipPace.SAME_ZONE_FANOUT) {
            return isSameZone(member) ? DIRECT_FAILURE_TIMEOUT_NANOS : INDIRECT_FAILURE_TIMEOUT_NANOS;
        }
        return isSameZone(member) ? INDIRECT_FAILURE_TIMEOUT_NANOS : REMOTE_FAILURE_TIMEOUT_NANOS;
    }

    /**
     * Lists the nodes that are alive, including this one.
     *
     * @return nodes ordered by address
     */
    public List<Member> aliveMembers() {
        return snapshot.alive();
    }

    /**
     * Lists the nodes in this table, including this one and failed ones that are not removed yet. To be used where all
     * nodes have to agree whoever is in touch with whom.
     *
     * @return nodes in no particular order
     */
    public List<Member> knownMembers() {
        List<Member> known = new ArrayList<>();
        known.add(self());
        lock.run(() -> known.addAll(members.values()));
        return known;
    }

    /**
     * Lists the nodes that are alive and were heard of lately. To be used where naming a failed node is worse than
     * leaving out one that is alive, because the failure timeout of nodes of other zones is long.
     *
     * @param maxAgeNanos longest time since any node received a message of a listed node
     * @return nodes, including this one
     */
    public List<Member> heardWithin(long maxAgeNanos) {
        long nowNanos = clock.nowNanos();
        List<Member> heard = new ArrayList<>();
        heard.add(self());
        lock.run(() -> heard.addAll(aliveOthers(member -> nowNanos - member.heardNanos() <= maxAgeNanos)));
        return heard;
    }

    /**
     * Selects the nodes to describe in a gossip message: this node and a bounded number of others. Successive calls
     * select the others in round-robin order, so that each is included in time.
     *
     * @param maxSameZone maximum number of other nodes of this node's zone
     * @param maxOtherZones maximum number of nodes of other zones
     * @return this node, followed by other nodes that are alive
     */
    public List<Member> selectForGossip(int maxSameZone, int maxOtherZones) {
        List<Member> selected = new ArrayList<>();
        selected.add(self());
        lock.run(() -> {
            nextZoneIndex = addInTurn(aliveOthers(this::isSameZone), nextZoneIndex, maxSameZone, selected);
            nextOtherIndex =
                    addInTurn(aliveOthers(member -> !isSameZone(member)), nextOtherIndex, maxOtherZones, selected);
        });
        return selected;
    }

    private List<Member> aliveOthers(Predicate<Member> filter) {
        List<Member> others = new ArrayList<>();
        for (Member member : members.values()) {
            if (isAlive(member) && filter.test(member)) {
                others.add(member);
            }
        }
        return others;
    }

    private boolean isSameZone(Member member) {
        return member.availabilityZone().equals(self.availabilityZone());
    }

    /** Adds up to a number of nodes from an index on; returns the index of the next call. */
    private static int addInTurn(List<Member> nodes, int firstIndex, int maxNodes, List<Member> selected) {
        int count = Math.min(maxNodes, nodes.size());
        for (int i = 0; i < count; i++) {
            selected.add(nodes.get((firstIndex + i) % nodes.size()));
        }
        return firstIndex + count & MAX_FIRST_INDEX;
    }

    /**
     * Returns the number of nodes in this table, including this one and failed ones that are not removed yet.
     *
     * @return number of nodes, at least 1
     */
    public int fleetSize() {
        return 1 + lock.compute(members::size);
    }

    /**
     * Returns the rule that decides whether this node owns an upstream. The owner is the node with the highest
     * rendezvous hash among the ready nodes of the upstream's zone, or of all zones when that zone has none.
     *
     * @return the rule, which acquires no lock
     */
    public Ownership ownership() {
        return registration -> ownershipEnabled && self.address().equals(snapshot.owner(registration));
    }

    /** Allows this node to own upstreams. To be called once it has had time to learn of the other nodes. */
    public void enableOwnership() {
        ownershipEnabled = true;
    }

    /**
     * Lists the nodes of this node's zone in the order in which the others of the zone read the store through them.
     *
     * @return ready nodes, without leaving ones
     */
    public List<Member> zoneReaders() {
        return snapshot.zoneReaders(self.availabilityZone());
    }

    /**
     * Lists the first reader of each zone in the order in which they read the store itself for the fleet.
     *
     * @return one ready node of each zone that has one
     */
    public List<Member> fleetReaders() {
        return snapshot.fleetReaders();
    }

    /**
     * Returns the order in which nodes read the store, which is the same on every node.
     *
     * @return compares nodes; the one that goes first is less
     */
    public static Comparator<Member> readerOrder() {
        return FleetSnapshot.READER_ORDER;
    }
}
