package org.turmericspan.balancing;

import java.util.Optional;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Holds the active configuration. Within one process its version only increases. */
public final class ConfigurationHolder {
    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private volatile RoutingConfiguration current;

    /** Creates a holder without a configuration. */
    public ConfigurationHolder() {}

    /**
     * Activates a configuration if its version is higher than that of the active one.
     *
     * @param candidate the configuration
     * @return whether it was activated
     */
    public boolean accept(RoutingConfiguration candidate) {
        return lock.compute(() -> {
            boolean isNewer = current == null || candidate.version() > current.version();
            if (isNewer) {
                current = candidate;
            }
            return isNewer;
        });
    }

    /**
     * Returns the active configuration.
     *
     * @return empty until the first one is activated
     */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }
}
