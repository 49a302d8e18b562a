package org.turmericspan.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.PeerReport;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.zones.ZoneExchange;

/**
 * Disseminates the state known to this node. In each round it sends messages to several nodes of its own zone, in
 * round-robin order, and now and then to one random node of another zone. What a node sends is bounded for any size of
 * the zone and of the fleet, by {@link GossipPace}.
 */
public final class Gossip {
    /** Age up to which the upstream states that this node observed itself are sent within the zone. */
    private static final long MAX_OWN_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Rounds between messages to the seeds, which reconnect parts of the fleet that have lost contact with each other.
     */
    private static final int ROUNDS_BETWEEN_SEED_MESSAGES = 6;
    /** Number of nodes in the message of a new sender up to which it gets a reply. */
    private static final int MAX_KNOWN_FOR_REPLY = 8;
    /** Maximum number of suspected crashes reported in one message. */
    private static final int MAX_CRASHES = 20;
    /** Maximum number of upstreams reported in one message, which limits its size. */
    private static final int MAX_REPORTS = 400;
    /** Nodes of each other zone to which a change of this node's own state is sent at once. */
    private static final int BROADCAST_NODES_PER_OTHER_ZONE = 5;

    /** Nodes of this node's zone that are told at once of news that this node has read from another one. */
    private static final int NEWS_NODES_SAME_ZONE = 4;
    /** Nodes of each zone that are told at once of news that this node has read from the store. */
    private static final int NEWS_NODES_PER_ZONE = 3;

    private static final int MAX_FIRST_ROUND = 64;

    private final MemberTable members;
    private final UpstreamTable upstreams;
    private final CrashSuspects suspects;
    private final Supplier<List<SocketAddress>> seeds;
    private final ScheduledExecutorService worker;
    private final RandomGenerator random;
    private ZoneExchange zones = ZoneExchange.none();
    private Supplier<ReplicaState> replica = () -> ReplicaState.NONE;
    private BiConsumer<SocketAddress, ReplicaState> replicaListener = (node, state) -> {};
    private GossipSender sender;
    private long round;
    private int nextSameZoneIndex;

    /**
     * Creates the gossip of this node, which sends nothing until it is started.
     *
     * @param members nodes known to this node
     * @param upstreams upstream states to send and to update
     * @param suspects requests suspected of crashing upstreams
     * @param seeds addresses through which to join the fleet, possibly outdated
     * @param worker executor that runs the rounds
     * @param random chooses among the nodes of other zones
     */
    public Gossip(
            MemberTable members,
            UpstreamTable upstreams,
            CrashSuspects suspects,
            Supplier<List<SocketAddress>> seeds,
            ScheduledExecutorService worker,
            RandomGenerator random) {
        this.members = members;
        this.upstreams = upstreams;
        this.suspects = suspects;
        this.seeds = seeds;
        this.worker = worker;
        this.random = random;
    }

    /**
     * Sets what messages tell of this node's replica of the store.
     *
     * @param state returns the current state
     */
    public void describeReplica(Supplier<ReplicaState> state) {
        replica = state;
    }

    /**
     * Sets the listener to notify of the state of another node's replica.
     *
     * @param listener called with the address of the node for each message received
     */
    public void onReplicaState(BiConsumer<SocketAddress, ReplicaState> listener) {
        replicaListener = listener;
    }

    /**
     * Sets the exchange of demand and room, which decides anew in each round.
     *
     * @param exchange tells and hears of demand and room
     */
    public void shareZones(ZoneExchange exchange) {
        zones = exchange;
    }

    /**
     * Starts to send messages, one round after another.
     *
     * @param gossipSender sends the messages
     */
    public void start(GossipSender gossipSender) {
        sender = gossipSender;
        // Nodes that start at the same time send to other zones in different rounds.
        round = random.nextInt(MAX_FIRST_ROUND);
        worker.execute(this::runRound);
    }

    private void runRound() {
        members.detectFailures();
        zones.refresh();
        List<Member> sameZone = peers(this::isSameZone);
        List<Member> otherZones = peers(member -> !isSameZone(member));
        GossipPace pace = new GossipPace(sameZone.size(), 1 + sameZone.size() + otherZones.size());
        if (!sameZone.isEmpty()) {
            sender.send(sameZoneMessage(pace), nextSameZoneRecipients(sameZone));
        }
        if (!otherZones.isEmpty() && round % pace.roundsPerCrossZoneMessage() == 0) {
            Member recipient = otherZones.get(random.nextInt(otherZones.size()));
            sender.send(otherZoneMessage(pace), List.of(recipient.address()));
        }
        if (round % ROUNDS_BETWEEN_SEED_MESSAGES == 0 || sameZone.isEmpty() && otherZones.isEmpty()) {
            sendToUnknownSeeds(pace);
        }
        round++;
        worker.schedule(this::runRound, pace.roundMillis(), TimeUnit.MILLISECONDS);
    }

    private List<Member> peers(Predicate<Member> filter) {
        List<Member> peers = new ArrayList<>();
        SocketAddress self = members.self().address();
        for (Member member : members.aliveMembers()) {
            if (!member.address().equals(self) && filter.test(member)) {
                peers.add(member);
            }
        }
        return peers;
    }

    private List<SocketAddress> nextSameZoneRecipients(List<Member> sameZone) {
        List<SocketAddress> recipients = new ArrayList<>();
        for (int i = 0; i < Math.min(GossipPace.SAME_ZONE_FANOUT, sameZone.size()); i++) {
            recipients.add(
                    sameZone.get((nextSameZoneIndex + i) % sameZone.size()).address());
        }
        nextSameZoneIndex = (nextSameZoneIndex + GossipPace.SAME_ZONE_FANOUT) % sameZone.size();
        return recipients;
    }

    private void sendToUnknownSeeds(GossipPace pace) {
        List<SocketAddress> unknownSeeds = new ArrayList<>(seeds.get());
        members.aliveMembers().forEach(member -> unknownSeeds.remove(member.address()));
        unknownSeeds.remove(members.self().address());
        if (!unknownSeeds.isEmpty()) {
            sender.send(sameZoneMessage(pace), unknownSeeds);
        }
    }

    /**
     * Sends this node's state now instead of in the next rounds, for use when it has changed: to all nodes of its zone,
     * which callers of the zone ask for addresses, and to some nodes of each other zone, which spread it there.
     */
    public void broadcast() {
        worker.execute(() -> {
            if (sender == null) {
                return;
            }
            Map<AvailabilityZoneId, Integer> sentByZone = new HashMap<>();
            List<SocketAddress> recipients = new ArrayList<>();
            for (Member member : peers(member -> true)) {
                int sent = sentByZone.merge(member.availabilityZone(), 1, Integer::sum);
                if (isSameZone(member) || sent <= BROADCAST_NODES_PER_OTHER_ZONE) {
                    recipients.add(member.address());
                }
            }
            GossipPace pace = new GossipPace(0, recipients.size());
            List<Member> described = members.selectForGossip(pace.sameZoneSelection(), pace.otherZonesSelection());
            sender.send(new GossipMessage(described, List.of(), List.of(), replica.get()), recipients);
        });
    }

    /**
     * Tells some nodes at once that this node's replica has news. They read it if their own sources do not deliver it.
     *
     * @param isFirstHand whether the news comes from the store, so that other zones may not have it either
     */
    public void announceNews(boolean isFirstHand) {
        if (sender == null) {
            return;
        }
        Map<AvailabilityZoneId, Integer> sentByZone = new HashMap<>();
        List<SocketAddress> recipients = new ArrayList<>();
        List<Member> peers = peers(isFirstHand ? member -> true : this::isSameZone);
        int first = peers.isEmpty() ? 0 : random.nextInt(peers.size());
        int maxPerZone = isFirstHand ? NEWS_NODES_PER_ZONE : NEWS_NODES_SAME_ZONE;
        for (int i = 0; i < peers.size(); i++) {
            Member member = peers.get((first + i) % peers.size());
            if (sentByZone.merge(member.availabilityZone(), 1, Integer::sum) <= maxPerZone) {
                recipients.add(member.address());
            }
        }
        if (!recipients.isEmpty()) {
            sender.send(new GossipMessage(List.of(members.self()), List.of(), List.of(), replica.get()), recipients);
        }
    }

    private boolean isSameZone(Member member) {
        return member.availabilityZone().equals(members.self().availabilityZone());
    }

    private GossipMessage sameZoneMessage(GossipPace pace) {
        return new GossipMessage(
                members.selectForGossip(pace.sameZoneSelection(), pace.otherZonesSelection()),
                limited(upstreams.localReports(MAX_OWN_REPORT_AGE_NANOS)),
                suspects.recentCrashes(MAX_CRASHES),
                replica.get(),
                zones.summary());
    }

    private GossipMessage otherZoneMessage(GossipPace pace) {
        return new GossipMessage(
                members.selectForGossip(pace.crossZoneSelection(), pace.otherZonesSelection()),
                limited(upstreams.reports(registration ->
                        registration.availabilityZone().equals(members.self().availabilityZone()))),
                suspects.recentCrashes(MAX_CRASHES),
                replica.get(),
                zones.summary());
    }

    private static List<PeerReport> limited(List<PeerReport> reports) {
        return reports.size() <= MAX_REPORTS ? reports : reports.subList(0, MAX_REPORTS);
    }

    /**
     * Applies a received message. A sender that was not known as alive and knows few nodes itself gets a reply
     * immediately; when a whole fleet starts, those that know more would get one from each other node.
     *
     * @param from address from which the message was received
     * @param message the message
     */
    public void receive(SocketAddress from, GossipMessage message) {
        boolean isNewSender = members.mergeAll(message.members());
        upstreams.applyPeerReports(from.toString(), message.reports());
        message.crashes().forEach(suspects::recordPeerCrash);
        Member messageSender = message.members().get(0);
        replicaListener.accept(messageSender.address(), message.replica());
        zones.receive(messageSender.address(), messageSender.availabilityZone(), message.zones());
        if (isNewSender && message.members().size() <= MAX_KNOWN_FOR_REPLY && sender != null) {
            GossipPace pace = new GossipPace(0, members.aliveMembers().size());
            sender.send(sameZoneMessage(pace), List.of(message.members().get(0).address()));
        }
    }
}
