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

/** Exchanges heartbeats: with one node after the other, with a few at once after a change, with all at the start. */
public final class HeartbeatExchange implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration IDLE_STEP = Duration.ofMillis(200);
    private static final int TOLD_AT_ONCE = 3;
    private static final double LEAST_JITTER = 0.8;
    private static final double JITTER_RANGE = 0.4;

    private final Plan plan;
    private final PeerTable peers;
    private final PeerLinks links;
    private final WorkerPool workerPool;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final HeartbeatRotation rotation;
    private final AtomicBoolean greeted = new AtomicBoolean();
    private volatile Runnable listener = () -> {};
    private volatile boolean closed;

    /**
     * Creates an exchange that does not run yet.
     *
     * @param plan what is exchanged with whom, and how often
     * @param peers takes what the others say
     * @param links links to them
     * @param workerPool runs the exchange
     * @param random spreads the exchanges
     * @param clock tells when a node was asked
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
        this.rotation = new HeartbeatRotation(random);
    }

    /**
     * Starts the exchange.
     *
     * @param newsListener told after each heartbeat heard and at each step, outside any lock
     */
    public void start(Runnable newsListener) {
        listener = newsListener;
        workerPool.schedule(IDLE_STEP, this::step);
    }

    /** Tells a few nodes of a change at once; the others follow in their turn or hear it from those. */
    public void exchangeWithSample() {
        rotation.sample(plan.members().get(), TOLD_AT_ONCE).forEach(this::exchange);
    }

    /**
     * Handles a heartbeat of another node.
     *
     * @param from its VM
     * @param message the heartbeat
     * @return this node's own
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

    private void step() {
        if (closed) {
            return;
        }
        try {
            List<VmId> now = plan.members().get();
            if (!now.isEmpty() && greeted.compareAndSet(false, true)) {
                now.forEach(this::exchange);
            } else {
                rotation.next(now).ifPresent(this::exchange);
            }
            listener.run();
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("membership: a heartbeat failed");
        }
        workerPool.schedule(pause(), this::step);
    }

    /** Returns the time to the next step, also when what it depends on cannot be read, so that the steps go on. */
    private Duration pause() {
        Duration step = IDLE_STEP;
        try {
            int count = plan.members().get().size();
            if (count > 0) {
                step = plan.intervalPolicy().interval(count, plan.source().get());
            }
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("membership: no pace can be read");
        }
        return Duration.ofNanos((long) (step.toNanos() * (LEAST_JITTER + JITTER_RANGE * random.nextDouble())));
    }

    private void exchange(VmId peer) {
        long askedNanos = clock.nowNanos();
        links.ask(peer, plan.source().get(), TIMEOUT).thenAccept(answer -> {
            if (answer instanceof PeerMessage.Heartbeat heartbeat) {
                peers.recordReply(peer, heartbeat, askedNanos);
                workerPool.execute(listener);
            }
        });
    }

    /**
     * What is exchanged with whom, and how often.
     *
     * @param source writes this node's heartbeat
     * @param members lists the nodes to exchange with
     * @param intervalPolicy decides the time between two exchanges
     */
    public record Plan(
            Supplier<PeerMessage.Heartbeat> source, Supplier<List<VmId>> members, IntervalPolicy intervalPolicy) {}

    /** Decides the time between two exchanges. */
    @FunctionalInterface
    public interface IntervalPolicy {
        /**
         * Computes the pause before the next exchange.
         *
         * @param peers number of nodes to exchange with, from 1
         * @param heartbeat what is sent now
         * @return time until the next exchange, before jitter
         */
        Duration interval(int peers, PeerMessage.Heartbeat heartbeat);
    }
}
