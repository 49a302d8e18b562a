package org.turmericspan.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** The configuration in force. It only ever moves up in the total order. */
public final class ConfigurationTable {
    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final MonotonicClock clock;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.EMPTY;
    private volatile long acceptedNanos;

    /**
     * Creates an empty table.
     *
     * @param clock tells when a configuration was accepted
     */
    public ConfigurationTable(MonotonicClock clock) {
        this.clock = clock;
        this.acceptedNanos = clock.nowNanos();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the highest configuration accepted so far
     */
    public Configuration current() {
        return current;
    }

    /**
     * Returns when the configuration in force was accepted.
     *
     * @return monotonic time
     */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /**
     * Returns the version in force.
     *
     * @return {@link ConfigurationVersion#NONE} before the first
     */
    public ConfigurationVersion version() {
        return current.version();
    }

    /**
     * Offers a checked configuration. It comes into force only when it goes after the one in force.
     *
     * @param offered a checked configuration
     * @return true when it came into force
     */
    public boolean offer(Configuration offered) {
        boolean accepted = lock.compute(() -> replace(offered));
        if (accepted) {
            listeners.forEach(listener -> listener.accept(offered));
        }
        return accepted;
    }

    /**
     * Adds a listener that is told of each configuration that comes into force, outside any lock.
     *
     * @param listener told on the thread that offered
     */
    public void addListener(Consumer<Configuration> listener) {
        listeners.add(listener);
    }

    private boolean replace(Configuration offered) {
        if (!offered.version().isAfter(current.version())) {
            return false;
        }
        current = offered;
        acceptedNanos = clock.nowNanos();
        return true;
    }
}
