package org.turmericspan.gossip;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.ids.SocketAddress;

/**
 * Disseminates the state known to this node. In each round it sends messages to several nodes of its own zone, in
 * round-robin order, and to one random node of another zone. What a node sends per round is bounded for any size of the
 * zone and of the fleet.
 */
public final class Gossip {
    /**
     * Maximum number of nodes of the own zone to which a message is sent in each round; in a small zone, all get one.
     */
    static final int SAME_ZONE_FANOUT = 5;

    /** Interval between rounds; a node is considered failed only after several missed rounds. */
    private static final long ROUND_MILLIS = 200;
    /** Maximum number of other nodes described in a message; a larger fleet is covered by successive messages. */
    private static final int MAX_OTHER_MEMBERS = 20;
    /** Age up to which the upstream states that this node observed itself are sent within the zone. */
    private static final long MAX_OWN_REPORT_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Rounds between messages to the seeds, which reconnect parts of the fleet that have lost contact with each other.
     */
    private static final int ROUNDS_BETWEEN_SEED_MESSAGES = 6;
    /** Maximum number of suspected crashes reported in one message. */
    private static final int MAX_CRASHES = 20;

    private final MemberTable members;
    private final UpstreamTable upstreams;
    private final CrashSuspects suspects;
    private final Supplier<List<SocketAddress>> seeds;
    private final ScheduledExecutorService worker;
    private final RandomGenerator random;
    private GossipTransport transport;
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
     * Starts to send messages, one round after another.
     *
     * @param gossipTransport transport that sends the messages
     */
    public void start(GossipTransport gossipTransport) {
        transport = gossipTransport;
        worker.execute(this::runRound);
    }

    private void runRound() {
        members.detectFailures();
        List<Member> others = members.aliveMembers().stream()
                .filter(member -> !member.address().equals(members.self().address()))
                .toList();
        List<Member> sameZone = others.stream().filter(this::isSameZone).toList();
        List<Member> otherZone =
                others.stream().filter(member -> !isSameZone(member)).toList();
        if (!sameZone.isEmpty()) {
            GossipMessage message = sameZoneMessage();
            for (int i = 0; i < Math.min(SAME_ZONE_FANOUT, sameZone.size()); i++) {
                transport.send(
                        message,
                        sameZone.get((nextSameZoneIndex + i) % sameZone.size()).address());
            }
            nextSameZoneIndex = (nextSameZoneIndex + SAME_ZONE_FANOUT) % sameZone.size();
        }
        if (!otherZone.isEmpty()) {
            transport.send(
                    otherZoneMessage(),
                    otherZone.get(random.nextInt(otherZone.size())).address());
        }
        if (round % ROUNDS_BETWEEN_SEED_MESSAGES == 0 || others.isEmpty()) {
            sendToSeeds();
        }
        round++;
        worker.schedule(this::runRound, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendToSeeds() {
        GossipMessage message = new GossipMessage(members.selectForGossip(MAX_OTHER_MEMBERS), List.of(), List.of());
        for (SocketAddress seed : seeds.get()) {
            boolean isKnown = members.aliveMembers().stream()
                    .anyMatch(member -> member.address().equals(seed));
            if (!isKnown) {
                transport.send(message, seed);
            }
        }
    }

    /** Sends this node's state to all alive nodes now instead of in the next rounds, for use when it has changed. */
    public void broadcast() {
        worker.execute(() -> {
            GossipMessage message = new GossipMessage(members.selectForGossip(MAX_OTHER_MEMBERS), List.of(), List.of());
            members.aliveMembers().stream()
                    .filter(member -> !member.address().equals(members.self().address()))
                    .forEach(member -> transport.send(message, member.address()));
        });
    }

    private boolean isSameZone(Member member) {
        return member.availabilityZone().equals(members.self().availabilityZone());
    }

    private GossipMessage sameZoneMessage() {
        return new GossipMessage(
                members.selectForGossip(MAX_OTHER_MEMBERS),
                upstreams.localReports(MAX_OWN_REPORT_AGE_NANOS),
                suspects.recentCrashes(MAX_CRASHES));
    }

    private GossipMessage otherZoneMessage() {
        return new GossipMessage(
                members.selectForGossip(MAX_OTHER_MEMBERS),
                upstreams.reports(registration ->
                        registration.availabilityZone().equals(members.self().availabilityZone())),
                suspects.recentCrashes(MAX_CRASHES));
    }

    /**
     * Applies a received message. A sender that was not known as alive gets a reply immediately.
     *
     * @param sender address from which the message was received
     * @param message the message
     */
    public void receive(SocketAddress sender, GossipMessage message) {
        boolean isNewSender = members.mergeAll(message.members());
        upstreams.applyPeerReports(sender.toString(), message.reports());
        message.crashes().forEach(suspects::recordPeerCrash);
        if (isNewSender && transport != null) {
            transport.send(sameZoneMessage(), message.members().get(0).address());
        }
    }
}
