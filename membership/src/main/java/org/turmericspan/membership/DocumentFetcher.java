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
 * Fetches one kind of document from the peer that has its newest version. Random jitter before each fetch spreads the
 * fetches of many nodes over time.
 *
 * @param <V> version of the document
 */
public final class DocumentFetcher<V extends Comparable<? super V>> {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Upper bound of the random delay before a fetch. */
    private static final Duration MAX_JITTER = Duration.ofMillis(150);
    /** Longest wait for the document from a peer. */
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final FetchScheduler<V> scheduler = new FetchScheduler<>();
    private final Document<V> document;
    private final PeerLinks links;
    private final WorkerPool workerPool;
    private final RandomGenerator random;
    private final MonotonicClock clock;

    /**
     * Creates a fetcher; nothing is fetched yet.
     *
     * @param document kind of document to fetch
     * @param links links to the peers
     * @param workerPool pool that runs the fetches
     * @param random source of the jitter and of the peer order
     * @param clock measures the backoff of failing peers
     */
    public DocumentFetcher(
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

    /** Starts a fetch when a peer has a newer version and no fetch is running. */
    public void fetchIfBehind() {
        List<FetchScheduler.Offer<V>> offers = new ArrayList<>(document.offers().get());
        Collections.shuffle(offers, new Random(random.nextLong()));
        scheduler
                .tryStart(document.current().get(), offers, clock.nowNanos())
                .ifPresent(peer -> workerPool.schedule(jitter(), () -> fetch(peer)));
    }

    private void fetch(VmId peer) {
        links.ask(peer, document.request(), TIMEOUT).thenAccept(reply -> {
            handleReply(peer, reply);
            fetchIfBehind();
        });
    }

    private void handleReply(VmId peer, PeerMessage reply) {
        boolean succeeded = false;
        try {
            succeeded = document.handler().test(peer, reply);
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("membership: cannot apply document from %s", peer);
        } finally {
            scheduler.finish(peer, succeeded, clock.nowNanos());
        }
    }

    private Duration jitter() {
        return Duration.ofNanos(random.nextLong(MAX_JITTER.toNanos()));
    }

    /**
     * Describes how one kind of document, the configuration or the view, is fetched and applied.
     *
     * @param request message that requests the document from a peer
     * @param current newest version known to this node
     * @param offers versions at the peers, without the versions that this node would reject
     * @param handler applies the reply of a peer and returns whether it contained a newer version
     * @param <V> version of the document
     */
    public record Document<V>(
            PeerMessage request,
            Supplier<V> current,
            Supplier<List<FetchScheduler.Offer<V>>> offers,
            BiPredicate<VmId, PeerMessage> handler) {}
}
