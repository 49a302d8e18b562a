package org.turmericspan.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Holds the active configuration. Only a newer version, in the total order of versions, replaces it. */
public final class ConfigurationTable {
    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private final MonotonicClock clock;
    private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
    private volatile Configuration current = Configuration.EMPTY;
    private volatile long acceptedNanos;

    /**
     * Creates an empty table.
     *
     * @param clock source of the acceptance times
     */
    public ConfigurationTable(MonotonicClock clock) {
        this.clock = clock;
        this.acceptedNanos = clock.nowNanos();
    }

    /**
     * Returns the active configuration.
     *
     * @return the newest configuration accepted so far
     */
    public Configuration current() {
        return current;
    }

    /**
     * Returns when the active configuration was accepted.
     *
     * @return monotonic time
     */
    public long acceptedNanos() {
        return acceptedNanos;
    }

    /**
     * Returns the active version.
     *
     * @return {@link ConfigurationVersion#NONE} before the first configuration
     */
    public ConfigurationVersion version() {
        return current.version();
    }

    /**
     * Offers a validated configuration. It becomes active only when its version is newer than the active one.
     *
     * @param offered a validated configuration of any version
     * @return true when it became active
     */
    public boolean offer(Configuration offered) {
        boolean accepted = lock.compute(() -> replace(offered));
        if (accepted) {
            listeners.forEach(listener -> listener.accept(offered));
        }
        return accepted;
    }

    /**
     * Adds a listener that receives each configuration that becomes active.
     *
     * @param listener called outside any lock, on the thread that offered the configuration
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
