package org.turmericspan.membership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.config.InvalidConfigurationException;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Validates every offered configuration document as a whole before it can become active, whether it comes from a peer
 * or from the platform. Until the receiver is activated, the newest valid document stays pending, so that a newly
 * started process can first query its peers.
 */
public final class ConfigurationReceiver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Number of rejected documents that are remembered, so that they are neither validated nor logged again. */
    private static final int MAX_REJECTED = 8;

    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final ConfigurationReader reader = new ConfigurationReader();
    private final ConfigurationTable table;
    private final MonotonicClock clock;
    private final Consumer<RejectedConfiguration> rejectionListener;
    private final Deque<RejectedConfiguration> rejected = new ArrayDeque<>();
    private Configuration pending = Configuration.EMPTY;
    private OptionalLong knownSinceNanos = OptionalLong.empty();
    private boolean active;

    /** Result of offering a document. */
    public enum Outcome {
        /** The document is now the active configuration. */
        ACCEPTED,
        /** The document is valid and stays pending until the receiver is activated. */
        PENDING,
        /** The document is not newer than the active or the pending configuration. */
        NOT_NEWER,
        /** The document is invalid. */
        REJECTED
    }

    /**
     * Creates a receiver that is not active yet.
     *
     * @param table table of the active configuration
     * @param clock source of the rejection times
     * @param rejectionListener called outside any lock when a document is rejected for the first time
     */
    public ConfigurationReceiver(
            ConfigurationTable table, MonotonicClock clock, Consumer<RejectedConfiguration> rejectionListener) {
        this.table = table;
        this.clock = clock;
        this.rejectionListener = rejectionListener;
    }

    /**
     * Offers a document.
     *
     * @param document the document as published
     * @param source origin of the document, such as a peer or the platform, for the log
     * @return what became of the document
     */
    public Outcome offer(String document, String source) {
        String digest = ConfigurationReader.digest(document);
        if (isRejected(digest)) {
            return Outcome.REJECTED;
        }
        if (digest.equals(newestVersion().digest())) {
            return Outcome.NOT_NEWER;
        }
        Configuration validated;
        try {
            validated = reader.read(document);
        } catch (InvalidConfigurationException e) {
            reject(new RejectedConfiguration(digest, source, e.getMessage(), clock.nowNanos()));
            return Outcome.REJECTED;
        }
        return accept(validated, source);
    }

    /** Activates the receiver. The pending configuration becomes the active one. */
    public void activate() {
        Configuration activated = lock.compute(() -> {
            active = true;
            return pending;
        });
        table.offer(activated);
    }

    /**
     * Returns whether the receiver is active.
     *
     * @return true once an offered configuration may become active
     */
    public boolean isActive() {
        return lock.compute(() -> active);
    }

    /**
     * Returns the newest version that is active or pending.
     *
     * @return {@link ConfigurationVersion#NONE} before the first valid document
     */
    public ConfigurationVersion newestVersion() {
        ConfigurationVersion pendingVersion = lock.compute(() -> pending.version());
        ConfigurationVersion activeVersion = table.version();
        return pendingVersion.isAfter(activeVersion) ? pendingVersion : activeVersion;
    }

    /**
     * Returns when the first valid document was received.
     *
     * @return monotonic time, or empty before the first valid document
     */
    public OptionalLong knownSinceNanos() {
        return lock.compute(() -> knownSinceNanos);
    }

    /**
     * Returns whether a document was rejected.
     *
     * @param digest digest of the document
     * @return true when it is among the most recently rejected documents
     */
    public boolean isRejected(String digest) {
        return lock.compute(
                () -> rejected.stream().anyMatch(rejection -> rejection.digest().equals(digest)));
    }

    /**
     * Lists the most recently rejected documents.
     *
     * @return the rejected documents, latest first
     */
    public List<RejectedConfiguration> rejected() {
        return lock.compute(() -> List.copyOf(rejected));
    }

    private Outcome accept(Configuration validated, String source) {
        Outcome outcome = lock.compute(() -> keepPendingUnlessActive(validated));
        if (outcome != Outcome.ACCEPTED) {
            return outcome;
        }
        if (!table.offer(validated)) {
            return Outcome.NOT_NEWER;
        }
        logger.atInfo().log(
                "membership: configuration %d from %s is now active",
                validated.version().number(), source);
        return Outcome.ACCEPTED;
    }

    private Outcome keepPendingUnlessActive(Configuration validated) {
        if (knownSinceNanos.isEmpty()) {
            knownSinceNanos = OptionalLong.of(clock.nowNanos());
        }
        if (active) {
            return Outcome.ACCEPTED;
        }
        if (!validated.version().isAfter(pending.version())) {
            return Outcome.NOT_NEWER;
        }
        pending = validated;
        return Outcome.PENDING;
    }

    private void reject(RejectedConfiguration rejection) {
        lock.run(() -> {
            rejected.addFirst(rejection);
            if (rejected.size() > MAX_REJECTED) {
                rejected.removeLast();
            }
        });
        logger.atWarning().log(
                "membership: rejected configuration from %s: %s", rejection.source(), rejection.message());
        rejectionListener.accept(rejection);
    }
}
