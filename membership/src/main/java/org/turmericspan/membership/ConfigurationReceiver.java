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
 * Checks every offered document as a whole before it may come into force, whichever way it came. Until the intake is
 * opened the highest checked document is held back, so that a fresh process can first ask its peers.
 */
public final class ConfigurationReceiver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int REFUSALS_KEPT = 8;

    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final ConfigurationReader reader = new ConfigurationReader();
    private final ConfigurationTable table;
    private final MonotonicClock clock;
    private final Consumer<RejectedConfiguration> refusalListener;
    private final Deque<RejectedConfiguration> rejected = new ArrayDeque<>();
    private Configuration held = Configuration.EMPTY;
    private OptionalLong knownSinceNanos = OptionalLong.empty();
    private boolean open;

    /** What became of an offered document. */
    public enum Outcome {
        /** It came into force. */
        ACCEPTED,
        /** It is checked and held back until the intake opens. */
        HELD,
        /** It is not higher than what is in force or held. */
        NOT_HIGHER,
        /** It was refused. */
        REFUSED
    }

    /**
     * Creates a closed intake.
     *
     * @param table takes what is accepted
     * @param clock tells when something was refused
     * @param refusalListener told of each document refused for the first time, outside any lock
     */
    public ConfigurationReceiver(
            ConfigurationTable table, MonotonicClock clock, Consumer<RejectedConfiguration> refusalListener) {
        this.table = table;
        this.clock = clock;
        this.refusalListener = refusalListener;
    }

    /**
     * Offers a document.
     *
     * @param document the document as published
     * @param source where it came from, for the log
     * @return what became of it
     */
    public Outcome offer(String document, String source) {
        String digest = ConfigurationReader.digest(document);
        if (isRefused(digest)) {
            return Outcome.REFUSED;
        }
        if (digest.equals(highest().digest())) {
            return Outcome.NOT_HIGHER;
        }
        Configuration checked;
        try {
            checked = reader.read(document);
        } catch (InvalidConfigurationException e) {
            refuse(new RejectedConfiguration(digest, source, e.getMessage(), clock.nowNanos()));
            return Outcome.REFUSED;
        }
        return take(checked, source);
    }

    /** Opens the intake; the document held back comes into force. */
    public void open() {
        Configuration released = lock.compute(() -> {
            open = true;
            return held;
        });
        table.offer(released);
    }

    /**
     * Tells whether the intake is open.
     *
     * @return true once a configuration may come into force
     */
    public boolean isOpen() {
        return lock.compute(() -> open);
    }

    /**
     * Returns the highest version that is in force or held back.
     *
     * @return {@link ConfigurationVersion#NONE} before the first
     */
    public ConfigurationVersion highest() {
        ConfigurationVersion heldVersion = lock.compute(() -> held.version());
        ConfigurationVersion inForce = table.version();
        return heldVersion.isAfter(inForce) ? heldVersion : inForce;
    }

    /**
     * Returns when the first checked document was known.
     *
     * @return monotonic time, or empty before the first
     */
    public OptionalLong knownSinceNanos() {
        return lock.compute(() -> knownSinceNanos);
    }

    /**
     * Tells whether a document was refused.
     *
     * @param digest its digest
     * @return true when it is among the last documents refused
     */
    public boolean isRefused(String digest) {
        return lock.compute(
                () -> rejected.stream().anyMatch(refusal -> refusal.digest().equals(digest)));
    }

    /**
     * Lists the last documents refused.
     *
     * @return the latest first
     */
    public List<RejectedConfiguration> rejected() {
        return lock.compute(() -> List.copyOf(rejected));
    }

    private Outcome take(Configuration checked, String source) {
        Outcome outcome = lock.compute(() -> holdUnlessOpen(checked));
        if (outcome != Outcome.ACCEPTED) {
            return outcome;
        }
        if (!table.offer(checked)) {
            return Outcome.NOT_HIGHER;
        }
        logger.atInfo().log(
                "membership: configuration %d from %s is in force",
                checked.version().number(), source);
        return Outcome.ACCEPTED;
    }

    private Outcome holdUnlessOpen(Configuration checked) {
        if (knownSinceNanos.isEmpty()) {
            knownSinceNanos = OptionalLong.of(clock.nowNanos());
        }
        if (open) {
            return Outcome.ACCEPTED;
        }
        if (!checked.version().isAfter(held.version())) {
            return Outcome.NOT_HIGHER;
        }
        held = checked;
        return Outcome.HELD;
    }

    private void refuse(RejectedConfiguration refusal) {
        lock.run(() -> {
            rejected.addFirst(refusal);
            if (rejected.size() > REFUSALS_KEPT) {
                rejected.removeLast();
            }
        });
        logger.atWarning().log("membership: refused a configuration from %s: %s", refusal.source(), refusal.message());
        refusalListener.accept(refusal);
    }
}
