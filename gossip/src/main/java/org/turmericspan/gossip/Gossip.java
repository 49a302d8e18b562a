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
 * Tells other nodes what this one knows: often nodes of its zone, less often one node elsewhere, drawn at random. What
 * a node sends is bounded, whatever the size of its zone and of the fleet.
 */
public final class Gossip {
    /** Nodes of the zone that are told in each round; in a small zone all of them. */
    static final int NEAR_FANOUT = 5;

    /** Pause between rounds; several must be lost before a node counts as gone. */
    private static final long ROUND_MILLIS = 200;
    /** Other nodes named in a digest; the rest takes its turn. */
    private static final int MAX_ROWS = 20;
    /** Age up to which this node's own observations are told within the zone. */
    private static final long OWN_REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Rounds between digests to the seeds, which bring together parts of the fleet that lost each other. */
    private static final int SEED_ROUNDS = 6;
    /** Crashes told in each digest. */
    private static final int MAX_CRASHES = 20;

    private final MemberTable members;
    private final UpstreamTable upstreams;
    private final CrashSuspects suspects;
    private final Supplier<List<SocketAddress>> seeds;
    private final ScheduledExecutorService worker;
    private final RandomGenerator random;
    private GossipTransport transport;
    private long round;
    private int nextNear;

    /**
     * Creates a gossip that has not begun.
     *
     * @param members nodes known
     * @param upstreams beliefs to share
     * @param suspects requests that took upstreams down
     * @param seeds addresses to join through, which may be stale
     * @param worker runs the rounds
     * @param random draws nodes of other zones
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
     * Starts the rounds.
     *
     * @param over sends the digests
     */
    public void start(GossipTransport over) {
        transport = over;
        worker.execute(this::runRound);
    }

    private void runRound() {
        members.refresh();
        List<Member> others = members.aliveMembers().stream()
                .filter(member -> !member.address().equals(members.self().address()))
                .toList();
        List<Member> near = others.stream().filter(this::isNear).toList();
        List<Member> far = others.stream().filter(member -> !isNear(member)).toList();
        if (!near.isEmpty()) {
            Digest digest = nearDigest();
            for (int i = 0; i < Math.min(NEAR_FANOUT, near.size()); i++) {
                transport.send(digest, near.get((nextNear + i) % near.size()).address());
            }
            nextNear = (nextNear + NEAR_FANOUT) % near.size();
        }
        if (!far.isEmpty()) {
            transport.send(farDigest(), far.get(random.nextInt(far.size())).address());
        }
        if (round % SEED_ROUNDS == 0 || others.isEmpty()) {
            sendToSeeds();
        }
        round++;
        worker.schedule(this::runRound, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendToSeeds() {
        Digest digest = new Digest(members.rows(MAX_ROWS), List.of(), List.of());
        for (SocketAddress seed : seeds.get()) {
            boolean isKnown = members.aliveMembers().stream()
                    .anyMatch(member -> member.address().equals(seed));
            if (!isKnown) {
                transport.send(digest, seed);
            }
        }
    }

    /** Tells everyone at once, because this node's own state changed. */
    public void broadcast() {
        worker.execute(() -> {
            Digest digest = new Digest(members.rows(MAX_ROWS), List.of(), List.of());
            members.aliveMembers().stream()
                    .filter(member -> !member.address().equals(members.self().address()))
                    .forEach(member -> transport.send(digest, member.address()));
        });
    }

    private boolean isNear(Member member) {
        return member.availabilityZone().equals(members.self().availabilityZone());
    }

    private Digest nearDigest() {
        return new Digest(
                members.rows(MAX_ROWS), upstreams.localReports(OWN_REPORT_NANOS), suspects.recentCrashes(MAX_CRASHES));
    }

    private Digest farDigest() {
        return new Digest(
                members.rows(MAX_ROWS),
                upstreams.reports(registration ->
                        registration.availabilityZone().equals(members.self().availabilityZone())),
                suspects.recentCrashes(MAX_CRASHES));
    }

    /**
     * Takes a digest. A sender that was not known gets one back at once.
     *
     * @param sender where it came from
     * @param digest what it says
     */
    public void receive(SocketAddress sender, Digest digest) {
        boolean isNew = members.accept(digest.members());
        upstreams.applyPeerReports(sender.toString(), digest.reports());
        digest.crashes().forEach(suspects::recordPeerCrash);
        if (isNew && transport != null) {
            transport.send(nearDigest(), digest.members().get(0).address());
        }
    }
}
