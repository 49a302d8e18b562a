package org.turmericspan.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.WorkerPool;

/**
 * Fetches one kind of document from the peer that has the highest version of it, after a random pause that spreads the
 * fetches of many nodes.
 *
 * @param <V> version of the document
 */
public final class DocumentFetch<V extends Comparable<? super V>> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(150);
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final FetchPlan<V> plan = new FetchPlan<>();
    private final Document<V> document;
    private final PeerLinks links;
    private final WorkerPool workerPool;
    private final RandomGenerator random;
    private final MonotonicClock clock;

    /**
     * Creates a fetch that does not run yet.
     *
     * @param document what is fetched
     * @param links links to the peers
     * @param workerPool runs the fetch
     * @param random spreads the fetches
     * @param clock tells how long a failing peer rests
     */
    public DocumentFetch(
            Document<V> document,
            PeerLinks links,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        this.document = document;
        this.links = links;
        this.workerPool = workerPool;
        this.random = random;
        this.clock = clock;
    }

    /** Begins a fetch when a peer has a higher version and no fetch runs. */
    public void beginIfBehind() {
        List<FetchPlan.Offer<V>> offers = new ArrayList<>(document.offers().get());
        Collections.shuffle(offers, new Random(random.nextLong()));
        plan.begin(document.current().get(), offers, clock.nowNanos())
                .ifPresent(peer -> workerPool.schedule(pause(), () -> fetch(peer)));
    }

    private void fetch(VmId peer) {
        links.ask(peer, document.question(), TIMEOUT).thenAccept(answer -> {
            take(peer, answer);
            beginIfBehind();
        });
    }

    private void take(VmId peer, PeerMessage answer) {
        boolean succeeded = false;
        try {
            succeeded = document.taker().test(peer, answer);
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("membership: cannot take a document from %s", peer);
        } finally {
            plan.end(peer, succeeded, clock.nowNanos());
        }
    }

    private Duration pause() {
        return Duration.ofNanos(random.nextLong(LONGEST_PAUSE.toNanos()));
    }

    /**
     * One kind of document.
     *
     * @param question message that asks a peer for it
     * @param current highest version known here
     * @param offers versions at the peers, those not worth fetching left out
     * @param taker takes an answer of a peer and tells whether it brought a higher version
     * @param <V> version of the document
     */
    public record Document<V>(
            PeerMessage question,
            Supplier<V> current,
            Supplier<List<FetchPlan.Offer<V>>> offers,
            BiPredicate<VmId, PeerMessage> taker) {}
}
