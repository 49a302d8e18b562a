package org.turmericspan.balancing;

import java.util.Optional;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** The configuration in force. It only moves to higher versions within the life of a process. */
public final class ConfigurationHolder {
    private final RankedLock lock = new RankedLock(LockRank.CONFIGURATION);
    private volatile RoutingConfiguration current;

    /** Creates a holder without a configuration. */
    public ConfigurationHolder() {}

    /**
     * Puts a configuration in force unless the one in force is as new.
     *
     * @param candidate the configuration
     * @return whether it is now in force
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
     * Returns the configuration in force.
     *
     * @return empty until the first one is accepted
     */
    public Optional<RoutingConfiguration> current() {
        return Optional.ofNullable(current);
    }
}
