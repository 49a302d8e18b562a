package org.turmericspan.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Ownership;
import org.turmericspan.balancing.Registration;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Nodes of the fleet, learned from digests. A node that nobody has heard of lately counts as gone. */
public final class MemberTable {
    /** Silence after which a node of a small zone counts as gone; several digests must have been lost by then. */
    private static final long NEAR_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);
    /** The same for nodes of large or other zones, of which this node hears less often and by others. */
    private static final long FAR_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** Time after which a silent node is forgotten and no longer counted in the fleet's size. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final String PART = "members";
    private static final Comparator<Member> BY_ADDRESS = (one, other) -> {
        int byHost = one.address().host().compareTo(other.address().host());
        return byHost != 0
                ? byHost
                : Integer.compare(one.address().port(), other.address().port());
    };

    private final RankedLock lock = new RankedLock(LockRank.PEERS);
    private final Map<SocketAddress, Member> members = new HashMap<>();
    private final MonotonicClock clock;
    private final EventLog log;
    private int nextRow;
    private volatile Member self;
    private volatile int zoneSize;
    private volatile boolean joined;
    private volatile Snapshot snapshot;

    /**
     * Creates a table that knows this node only.
     *
     * @param self this node
     * @param clock monotonic time
     * @param log takes changes of belief
     */
    public MemberTable(Member self, MonotonicClock clock, EventLog log) {
        this.self = self;
        this.clock = clock;
        this.log = log;
        this.snapshot = new Snapshot(List.of(self));
    }

    /**
     * Sets what this node says of itself.
     *
     * @param ready whether it can serve
     * @param leaving whether it is stopping
     * @param reading whether it reads the platform's store itself
     */
    public void updateSelf(boolean ready, boolean leaving, boolean reading) {
        Member old = self;
        self = new Member(
                old.address(),
                old.callerAddress(),
                old.availabilityZone(),
                old.incarnation(),
                ready,
                leaving,
                reading,
                clock.nowNanos());
        refresh();
    }

    /**
     * Returns this node.
     *
     * @return what it says of itself
     */
    public Member self() {
        return self.heardAt(clock.nowNanos());
    }

    /**
     * Takes what a digest says of nodes.
     *
     * @param rows the nodes, the sender first
     * @return whether the sender was not known as alive
     */
    public boolean accept(Collection<Member> rows) {
        List<Event> events = new ArrayList<>();
        SocketAddress sender = rows.iterator().next().address();
        boolean isNew = lock.compute(() -> {
            Member old = members.get(sender);
            rows.forEach(row -> merge(row, events));
            return old == null || !isAlive(old);
        });
        if (!events.isEmpty()) {
            refresh();
        }
        events.forEach(log::write);
        return isNew;
    }

    private void merge(Member row, List<Event> events) {
        if (row.address().equals(self.address())) {
            return;
        }
        Member old = members.get(row.address());
        if (old == null || old.incarnation() != row.incarnation()) {
            if (old == null || row.heardNanos() - old.heardNanos() > 0) {
                members.put(row.address(), row);
                events.add(event("Node joined.", row));
            }
        } else if (row.heardNanos() - old.heardNanos() > 0) {
            boolean leaving = old.leaving() || row.leaving();
            if (row.ready() != old.ready()) {
                events.add(event(row.ready() ? "Node is ready." : "Node is not ready.", row));
            }
            members.put(
                    row.address(),
                    new Member(
                            row.address(),
                            row.callerAddress(),
                            row.availabilityZone(),
                            row.incarnation(),
                            row.ready(),
                            leaving,
                            row.reading(),
                            row.heardNanos()));
            if (leaving && !old.leaving()) {
                events.add(event("Node is leaving.", row));
            }
        }
    }

    private Event event(String message, Member member) {
        return Event.notice(PART, message)
                .with("address", member.address())
                .with("incarnation", Integer.toHexString(member.incarnation()))
                .with("ageMs", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - member.heardNanos()));
    }

    /** Looks for nodes that fell silent. It is to be called a few times a second. */
    public void refresh() {
        List<Event> events = new ArrayList<>();
        long now = clock.nowNanos();
        lock.run(() -> {
            members.values().removeIf(member -> now - member.heardNanos() > FORGET_NANOS);
            zoneSize = (int) members.values().stream()
                    .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                    .filter(member -> now - member.heardNanos() <= FAR_SILENCE_NANOS)
                    .count();
            List<Member> alive = new ArrayList<>(
                    members.values().stream().filter(this::isAlive).toList());
            alive.add(self);
            alive.sort(BY_ADDRESS);
            Snapshot old = snapshot;
            if (!old.isSame(alive)) {
                old.alive.stream()
                        .filter(member ->
                                alive.stream().noneMatch(each -> each.address().equals(member.address())))
                        .forEach(member -> events.add(event("Node fell silent.", member)));
                snapshot = new Snapshot(alive);
            }
        });
        events.forEach(log::write);
    }

    private boolean isAlive(Member member) {
        boolean isHeardDirectly =
                member.availabilityZone().equals(self.availabilityZone()) && zoneSize <= Gossip.NEAR_FANOUT;
        long limit = isHeardDirectly ? NEAR_SILENCE_NANOS : FAR_SILENCE_NANOS;
        return clock.nowNanos() - member.heardNanos() <= limit;
    }

    /**
     * Lists the nodes that are alive, this one included.
     *
     * @return nodes ordered by address
     */
    public List<Member> aliveMembers() {
        return snapshot.alive;
    }

    /**
     * Lists this node and some others with the time at which they were last heard of. Where there are more than fit,
     * they take turns, so that each is told of in time.
     *
     * @param most how many others at most
     * @return this node first, then others that are alive
     */
    public List<Member> rows(int most) {
        List<Member> rows = new ArrayList<>();
        rows.add(self());
        lock.run(() -> {
            List<Member> others =
                    members.values().stream().filter(this::isAlive).toList();
            int count = Math.min(most, others.size());
            for (int i = 0; i < count; i++) {
                rows.add(others.get((nextRow + i) % others.size()));
            }
            nextRow = others.isEmpty() ? 0 : (nextRow + count) % others.size();
        });
        return rows;
    }

    /**
     * Counts the nodes heard of lately, alive or not.
     *
     * @return at least 1
     */
    public int fleetSize() {
        return 1 + lock.compute(members::size);
    }

    /**
     * Tells whether this node owns an upstream: among the ready nodes of the upstream's zone, or of all zones when it
     * has none, the one with the highest rendezvous score.
     *
     * @return the rule, which takes no lock
     */
    public Ownership ownership() {
        return registration -> joined && snapshot.owner(registration).equals(Optional.of(self.address()));
    }

    /** Lets this node own upstreams, now that it has had time to hear of the other nodes. */
    public void enableOwnership() {
        joined = true;
    }

    /**
     * Chooses the node of this node's zone that reads the platform's store for the others.
     *
     * @return the reader; empty while no node of the zone is ready
     */
    public Optional<Member> storeReader() {
        return snapshot.reader(self.availabilityZone());
    }

    /** The nodes alive at one moment, with the owners worked out so far. */
    private static final class Snapshot {
        private final List<Member> alive;
        private final Map<String, Optional<SocketAddress>> owners = new ConcurrentHashMap<>();

        Snapshot(List<Member> alive) {
            this.alive = List.copyOf(alive);
        }

        boolean isSame(List<Member> others) {
            if (others.size() != alive.size()) {
                return false;
            }
            for (int i = 0; i < others.size(); i++) {
                if (!alive.get(i).isSameAs(others.get(i))) {
                    return false;
                }
            }
            return true;
        }

        Optional<SocketAddress> owner(Registration registration) {
            String id = registration.id().value();
            AvailabilityZoneId zone = registration.availabilityZone();
            return owners.computeIfAbsent(id + "/" + zone.value(), key -> compute(id, zone));
        }

        Optional<Member> reader(AvailabilityZoneId zone) {
            return alive.stream()
                    .filter(member -> member.ready() && !member.leaving())
                    .filter(member -> member.availabilityZone().equals(zone))
                    .max(byHash("reader/"));
        }

        private static Comparator<Member> byHash(String prefix) {
            return (one, other) ->
                    Long.compare(StableHash.of(prefix + one.address()), StableHash.of(prefix + other.address()));
        }

        private Optional<SocketAddress> compute(String id, AvailabilityZoneId zone) {
            List<Member> able = alive.stream()
                    .filter(member -> member.ready() && !member.leaving())
                    .toList();
            List<Member> near = able.stream()
                    .filter(member -> member.availabilityZone().equals(zone))
                    .toList();
            return (near.isEmpty() ? able : near).stream().max(byHash(id + "/")).map(Member::address);
        }
    }
}
