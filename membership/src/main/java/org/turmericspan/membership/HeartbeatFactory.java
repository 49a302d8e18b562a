package org.turmericspan.membership;

import java.time.Duration;
import java.util.function.Supplier;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.messages.PeerMessage;

/** Writes this node's heartbeat from its tables. */
public final class HeartbeatFactory implements Supplier<PeerMessage.Heartbeat> {
    private final NodeIdentity identity;
    private final ConfigurationTable configurations;
    private final ViewTable views;
    private final NodeLifecycle nodeLifecycle;
    private final IdleSlotsReport idleSlots;
    private final MonotonicClock clock;

    /**
     * Creates a source.
     *
     * @param identity who this node is
     * @param configurations the configuration in force
     * @param views the accepted view
     * @param nodeLifecycle whether this node is about to stop
     * @param idleSlots slots idle at this node
     * @param clock tells the age of the view
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
