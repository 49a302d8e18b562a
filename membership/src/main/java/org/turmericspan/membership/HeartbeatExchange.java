package org.turmericspan.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.WorkerPool;

/**
 * Exchanges heartbeats with other nodes: with all of them once at the start, then with one node per interval in
 * randomized round-robin order, and immediately with a few random ones after a change.
 */
public final class HeartbeatExchange implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    /** Interval until the first run, and while there is no other node or the interval cannot be computed. */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(200);
    /** Nodes that get a heartbeat immediately after a change. */
    private static final int ANNOUNCE_FANOUT = 3;
    /** Lower bound of the random factor on the interval, which keeps nodes from sending at the same time. */
    private static final double MIN_JITTER_FACTOR = 0.8;

    private static final double JITTER_FACTOR_RANGE = 0.4;

    private final Plan plan;
    private final PeerTable peers;
    private final PeerLinks links;
    private final WorkerPool workerPool;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final PeerRoundRobin roundRobin;
    private final AtomicBoolean hasContactedAll = new AtomicBoolean();
    private volatile Runnable listener = () -> {};
    private volatile boolean closed;

    /**
     * Creates an exchange that is not started yet.
     *
     * @param plan what is exchanged with which nodes, and how often
     * @param peers table that stores the received heartbeats
     * @param links links to the other nodes
     * @param workerPool pool that runs the exchange
     * @param random source of the jitter and of the peer order
     * @param clock provides the time at which a heartbeat was sent
     */
    public HeartbeatExchange(
            Plan plan,
            PeerTable peers,
            PeerLinks links,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        this.plan = plan;
        this.peers = peers;
        this.links = links;
        this.workerPool = workerPool;
        this.random = random;
        this.clock = clock;
        this.roundRobin = new PeerRoundRobin(random);
    }

    /**
     * Starts the exchange.
     *
     * @param updateListener called after each received heartbeat and once per interval, outside any lock
     */
    public void start(Runnable updateListener) {
        listener = updateListener;
        workerPool.schedule(IDLE_INTERVAL, this::runOnce);
    }

    /** Announces a change to a few nodes immediately. The others learn it from those or from a later exchange. */
    public void exchangeWithSample() {
        roundRobin.sample(plan.members().get(), ANNOUNCE_FANOUT).forEach(this::exchange);
    }

    /**
     * Handles a heartbeat of another node.
     *
     * @param from VM of the sender
     * @param message the heartbeat
     * @return the heartbeat of this node
     */
    public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            peers.recordHeartbeat(from, heartbeat);
            workerPool.execute(listener);
        }
        return CompletableFuture.completedFuture(plan.source().get());
    }

    @Override
    public void close() {
        closed = true;
    }

    private void runOnce() {
        if (closed) {
            return;
        }
        try {
            List<VmId> currentMembers = plan.members().get();
            if (!currentMembers.isEmpty() && hasContactedAll.compareAndSet(false, true)) {
                currentMembers.forEach(this::exchange);
            } else {
                roundRobin.next(currentMembers).ifPresent(this::exchange);
            }
            listener.run();
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log(
                    "membership: heartbeat exchange failed, continuing at the next interval");
        }
        workerPool.schedule(nextDelay(), this::runOnce);
    }

    /**
     * Returns the delay until the next run, which is the idle interval when it cannot be computed, so that the exchange
     * continues.
     */
    private Duration nextDelay() {
        Duration interval = IDLE_INTERVAL;
        try {
            int count = plan.members().get().size();
            if (count > 0) {
                interval = plan.intervalPolicy().interval(count, plan.source().get());
            }
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log(
                    "membership: cannot compute the heartbeat interval, using the idle interval");
        }
        return Duration.ofNanos(
                (long) (interval.toNanos() * (MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * random.nextDouble())));
    }

    private void exchange(VmId peer) {
        long requestSentNanos = clock.nowNanos();
        links.ask(peer, plan.source().get(), TIMEOUT).thenAccept(reply -> {
            if (reply instanceof PeerMessage.Heartbeat heartbeat) {
                peers.recordReply(peer, heartbeat, requestSentNanos);
                workerPool.execute(listener);
            }
        });
    }

    /**
     * What is exchanged with which nodes, and how often.
     *
     * @param source supplies the heartbeat of this node as of now
     * @param members lists the nodes to exchange with
     * @param intervalPolicy decides the time between two exchanges
     */
    public record Plan(
            Supplier<PeerMessage.Heartbeat> source, Supplier<List<VmId>> members, IntervalPolicy intervalPolicy) {}

    /** Decides the time between two exchanges. */
    @FunctionalInterface
    public interface IntervalPolicy {
        /**
         * Computes the time until the next exchange.
         *
         * @param peers number of nodes to exchange with, at least 1
         * @param heartbeat the current heartbeat of this node
         * @return time until the next exchange, before jitter
         */
        Duration interval(int peers, PeerMessage.Heartbeat heartbeat);
    }
}
