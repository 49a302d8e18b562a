package org.turmericspan.caps;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/**
 * Keeps the caps of all tenants at one node. The cap of a tenant is divided into shards, which nodes hold by rendezvous
 * hash; each holder gives permits out of its own shard and nobody else's, so that what all nodes let through is bounded
 * whoever is in touch with whom. A node asks the holders one after the other, the one in its own zone first, until one
 * has a permit. Answers the load of all tenants at this node, and the asks of other nodes for the shards it holds.
 */
public final class CapNode implements CapGate {
    /** Age up to which the list of nodes is used without being read again. */
    private static final long MAX_VIEW_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Stands for no tenant in asks that only learn about a node. */
    private static final long GREETING_HASH = 0;

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<Long, TenantDesk> desksByTenant = new HashMap<>();
    private final CapPeer self;
    private final CapLimits limits;
    private final long asker;
    private final Supplier<List<CapPeer>> peers;
    private final Supplier<TenantDirectory> directory;
    private final CapTimer timer;
    private final CapMetrics metrics;
    private final MonotonicClock clock;
    private final ShardTable shards;
    private final FleetContact contact;
    private volatile CapKnowledge knowledge;
    private volatile CapSender sender = (datagram, recipient) -> {};

    /**
     * Creates the caps of a node, which has no contact with others until it is started.
     *
     * @param self this node
     * @param limits what the operators have agreed on
     * @param asker number drawn at random when the process starts
     * @param peers lists the nodes known to this node, with itself
     * @param directory returns the tenants of the active configuration
     * @param timer runs time-outs
     * @param metrics counts decisions
     * @param clock monotonic clock
     */
    public CapNode(
            CapPeer self,
            CapLimits limits,
            long asker,
            Supplier<List<CapPeer>> peers,
            Supplier<TenantDirectory> directory,
            CapTimer timer,
            CapMetrics metrics,
            MonotonicClock clock) {
        this.self = self;
        this.limits = limits;
        this.asker = asker;
        this.peers = peers;
        this.directory = directory;
        this.timer = timer;
        this.metrics = metrics;
        this.clock = clock;
        this.shards = new ShardTable(self.address(), limits);
        this.contact = new FleetContact(clock.nowNanos());
        this.knowledge = CapKnowledge.none(clock.nowNanos());
    }

    /** Lets this node give permits at once. To be called when the whole fleet starts for the first time. */
    public void establish() {
        lock.run(contact::establish);
    }

    /**
     * Lets this node give permits early if it finds that all nodes have restarted: all seeds are new, and a node of
     * each zone is in touch.
     *
     * @param seeds addresses of the cap messages of the seeds; without this node
     * @param zones all zones of the fleet
     */
    public void expect(Set<SocketAddress> seeds, Set<AvailabilityZoneId> zones) {
        lock.run(() -> contact.expect(seeds, zones));
    }

    /**
     * Begins to ask other nodes.
     *
     * @param capSender sends messages
     */
    public void start(CapSender capSender) {
        sender = capSender;
        refresh();
    }

    /** Reads the nodes and the tenants again, if that is due. To be called now and then also while there is no load. */
    public void refresh() {
        CapKnowledge current = knowledge;
        long nowNanos = clock.nowNanos();
        boolean isViewDue =
                current.view().isEmpty() || nowNanos - current.view().builtNanos() >= MAX_VIEW_AGE_NANOS;
        TenantDirectory newDirectory = directory.get();
        if (!isViewDue && newDirectory == current.directory()) {
            return;
        }
        List<CapPeer> newPeers = isViewDue ? peers.get() : List.of();
        lock.run(() -> {
            if (knowledge != current) {
                return;
            }
            CapKnowledge next = current;
            FleetView previous = next.view();
            next = isViewDue ? next.withPeers(newPeers, nowNanos) : next;
            boolean isDirectoryNew = newDirectory != next.directory();
            next = isDirectoryNew ? next.withDirectory(newDirectory, limits, nowNanos) : next;
            knowledge = next;
            contact.knows(next.view().size(), nowNanos);
            boolean isStartTogether = contact.startTogether(next.view(), nowNanos);
            if (isStartTogether) {
                shards.startTogether(nowNanos);
            }
            if (isStartTogether || isDirectoryNew || !next.view().hasNodesOf(previous)) {
                shards.update(next.tenantsByHash(), next.view());
            }
            if (isDirectoryNew) {
                Map<Long, CappedTenant> capped = next.tenantsByHash();
                desksByTenant
                        .entrySet()
                        .removeIf(entry -> !capped.containsKey(entry.getKey())
                                && entry.getValue().isIdle());
            }
        });
        if (isViewDue) {
            greetSeeds(nowNanos);
        }
    }

    /** Asks the seeds whether they are new too, by asks for no permit. */
    private void greetSeeds(long nowNanos) {
        for (SocketAddress seed : lock.compute(() -> contact.seedsToAsk(nowNanos))) {
            send(new CapAsk(GREETING_HASH, asker, 1, 0, 0, 0), seed);
        }
    }

    @Override
    public void admit(Tenant tenant, Consumer<CapDecision> listener) {
        refresh();
        long nowNanos = clock.nowNanos();
        long tenantHash = StableHash.of(tenant.id().value());
        Turn turn = new Turn();
        lock.run(() -> {
            TenantDesk desk =
                    desksByTenant.computeIfAbsent(tenantHash, key -> new TenantDesk(tenant.id(), tenantHash, nowNanos));
            if (!desk.request(tenant.cap(), listener, turn.told, nowNanos)) {
                turn.sent = advance(desk, turn.told, nowNanos);
            }
            turn.desk = desk;
        });
        finish(turn);
    }

    /**
     * Handles a message.
     *
     * @param from address of the sender
     * @param datagram the message
     */
    public void receive(SocketAddress from, CapDatagram datagram) {
        refresh();
        long nowNanos = clock.nowNanos();
        lock.run(() -> {
            if (datagram.fleetSize() == 0) {
                contact.heardNew(from);
            }
            if (datagram.isStartOfAll() && contact.heardStartOfAll(nowNanos)) {
                shards.startTogether(nowNanos);
                shards.update(knowledge.tenantsByHash(), knowledge.view());
            }
            contact.heard(datagram.fleetSize(), nowNanos);
        });
        if (datagram.message() instanceof CapAsk ask) {
            send(lock.compute(() -> take(ask, nowNanos)), from);
        } else if (datagram.message() instanceof CapAnswer answer) {
            Turn turn = new Turn();
            lock.run(() -> {
                turn.desk = desksByTenant.get(answer.tenantHash());
                if (turn.desk != null && answered(turn.desk, answer, from, turn.told, nowNanos)) {
                    turn.sent = advance(turn.desk, turn.told, nowNanos);
                }
            });
            finish(turn);
        }
    }

    private void send(CapMessage message, SocketAddress recipient) {
        long nowNanos = clock.nowNanos();
        sender.send(
                lock.compute(() -> new CapDatagram(
                        contact.sizeToTell(knowledge.view().size(), nowNanos),
                        contact.isStartOfAll(nowNanos),
                        message)),
                recipient);
    }

    private void timedOut(TenantDesk desk, long number) {
        long nowNanos = clock.nowNanos();
        Turn turn = new Turn();
        turn.desk = desk;
        lock.run(() -> {
            if (desk.timedOut(number, nowNanos)) {
                turn.sent = advance(desk, turn.told, nowNanos);
            }
        });
        finish(turn);
    }

    private boolean answered(
            TenantDesk desk, CapAnswer answer, SocketAddress from, List<TenantDesk.Told> told, long nowNanos) {
        return desk.answered(answer, from, limits.shardsOf(desk.cap()), told, nowNanos);
    }

    private CapAnswer take(CapAsk ask, long nowNanos) {
        if (!contact.mayHold(knowledge.view().size(), nowNanos)) {
            return CapAnswer.notHeld(ask);
        }
        return shards.take(ask, knowledge.tenantsByHash().get(ask.tenantHash()), nowNanos);
    }

    /** Asks holders until one has to be waited for; the shard of this node answers at once. */
    private Optional<TenantDesk.Pending> advance(TenantDesk desk, List<TenantDesk.Told> told, long nowNanos) {
        FleetView view = knowledge.view();
        List<SocketAddress> order = desk.isAsking() ? List.of() : askOrder(desk, view);
        Optional<TenantDesk.Pending> next = desk.nextAsk(order, asker, told, nowNanos);
        while (next.isPresent() && next.get().holder().equals(self.address())) {
            answered(desk, take(next.get().ask(), nowNanos), self.address(), told, nowNanos);
            next = desk.nextAsk(order, asker, told, nowNanos);
        }
        return next;
    }

    /** Lists the holders of a tenant's shards: this node, then those of its zone, then the others. */
    private List<SocketAddress> askOrder(TenantDesk desk, FleetView view) {
        int count = limits.shardsOf(desk.cap()).count();
        List<SocketAddress> holders = view.holders(desk.tenantHash());
        holders = holders.subList(0, Math.min(count, holders.size()));
        List<SocketAddress> order = new ArrayList<>();
        if (holders.contains(self.address())) {
            order.add(self.address());
        }
        addReachable(holders, true, view, order);
        addReachable(holders, false, view, order);
        return order;
    }

    /** Adds the holders of this node's zone, or the others, beginning with another one at each node. */
    private void addReachable(
            List<SocketAddress> holders, boolean isOwnZone, FleetView view, List<SocketAddress> order) {
        for (int i = 0; i < holders.size(); i++) {
            SocketAddress holder = holders.get((int) Math.floorMod(asker + i, (long) holders.size()));
            if (!order.contains(holder)
                    && view.isAlive(holder)
                    && view.isInZone(holder, self.availabilityZone()) == isOwnZone) {
                order.add(holder);
            }
        }
    }

    /** Tells decisions and sends the next ask, without the lock. */
    private void finish(Turn turn) {
        turn.sent.ifPresent(pending -> {
            TenantDesk desk = turn.desk;
            timer.schedule(
                    TenantDesk.ASK_TIMEOUT_NANOS,
                    () -> timedOut(desk, pending.ask().number()));
            send(pending.ask(), pending.holder());
        });
        for (TenantDesk.Told each : turn.told) {
            metrics.decided(turn.desk.id(), each.decision().outcome());
            each.listener().accept(each.decision());
        }
    }

    /**
     * Describes the caps for operators.
     *
     * @return one line for each tenant with a cap, ordered by name
     */
    public List<String> describe() {
        refresh();
        long nowNanos = clock.nowNanos();
        return lock.compute(() -> {
            List<String> lines = new ArrayList<>();
            knowledge.tenantsByHash().forEach((hash, tenant) -> lines.add(line(hash, tenant, nowNanos)));
            lines.sort(null);
            return lines;
        });
    }

    private String line(long tenantHash, CappedTenant tenant, long nowNanos) {
        TenantDesk desk = desksByTenant.get(tenantHash);
        List<SocketAddress> holders = knowledge.view().holders(tenantHash);
        int count = limits.shardsOf(tenant.tenant().cap()).count();
        return tenant.tenant().id()
                + " rate=" + tenant.tenant().cap().perSecond()
                + " burst=" + tenant.tenant().cap().burst()
                + " holders=" + text(holders.subList(0, Math.min(count, holders.size())))
                + (desk == null ? "" : desk.describe(nowNanos))
                + shards.describe(tenantHash, tenant, nowNanos);
    }

    private static String text(List<SocketAddress> addresses) {
        StringBuilder text = new StringBuilder("[");
        for (SocketAddress address : addresses) {
            text.append(text.length() > 1 ? "," : "").append(address);
        }
        return text.append(']').toString();
    }

    /** What one call under the lock leaves to be done after it. */
    private static final class Turn {
        private final List<TenantDesk.Told> told = new ArrayList<>();
        private TenantDesk desk;
        private Optional<TenantDesk.Pending> sent = Optional.empty();
    }
}
