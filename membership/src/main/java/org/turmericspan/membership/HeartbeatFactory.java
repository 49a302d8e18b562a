package org.turmericspan.membership;

import java.time.Duration;
import java.util.function.Supplier;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.messages.PeerMessage;

/** Creates the heartbeats of this node from its tables. */
public final class HeartbeatFactory implements Supplier<PeerMessage.Heartbeat> {
    private final NodeIdentity identity;
    private final ConfigurationTable configurations;
    private final ViewTable views;
    private final NodeLifecycle nodeLifecycle;
    private final IdleSlotsReport idleSlots;
    private final MonotonicClock clock;

    /**
     * Creates a factory.
     *
     * @param identity identity of this node
     * @param configurations table with the active configuration
     * @param views table with the accepted view
     * @param nodeLifecycle whether this node is leaving
     * @param idleSlots idle slots of this node
     * @param clock measures the age of the view
     */
    public HeartbeatFactory(
            NodeIdentity identity,
            ConfigurationTable configurations,
            ViewTable views,
            NodeLifecycle nodeLifecycle,
            IdleSlotsReport idleSlots,
            MonotonicClock clock) {
        this.identity = identity;
        this.configurations = configurations;
        this.views = views;
        this.nodeLifecycle = nodeLifecycle;
        this.idleSlots = idleSlots;
        this.clock = clock;
    }

    @Override
    public PeerMessage.Heartbeat get() {
        ConfigurationVersion version = configurations.version();
        return new PeerMessage.Heartbeat(
                identity.incarnation(),
                version.number(),
                version.digest(),
                views.current().revision(),
                Duration.ofNanos(clock.nowNanos() - views.confirmedNanos()),
                nodeLifecycle.isLeaving(),
                idleSlots.read());
    }
}
