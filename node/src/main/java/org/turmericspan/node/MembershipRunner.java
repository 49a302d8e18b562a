package org.turmericspan.node;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.HeartbeatPace;
import org.turmericspan.membership.HeartbeatSource;
import org.turmericspan.membership.Heartbeats;
import org.turmericspan.membership.Membership;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.PeerSelection;
import org.turmericspan.membership.PeerTable;
import org.turmericspan.membership.StopState;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.publication.HttpPlatformReader;
import org.turmericspan.publication.PlatformFeed;
import org.turmericspan.publication.PlatformSink;
import org.turmericspan.publication.PlatformValue;
import org.turmericspan.publication.ReadBudget;
import org.turmericspan.tables.Workers;

/** Keeps the configuration and the view up to date while the node runs: from the platform and from the other nodes. */
@Singleton
final class MembershipRunner implements AutoCloseable {
    private static final String CONFIGURATION_KEY = "configuration";
    private static final String VMS_KEY = "vms";
    private static final Duration OTHER_REGION_STEP = Duration.ofSeconds(1);

    private final Membership membership;
    private final Membership.Accepted accepted;
    private final PeerTable peers;
    private final StopState stopState;
    private final PeerHandlers handlers;
    private final Heartbeats heartbeats;
    private final Heartbeats otherRegions;
    private final PlatformFeed configurationFeed;
    private final PlatformFeed viewFeed;

    @Inject
    MembershipRunner(
            NodeIdentity identity,
            Membership membership,
            Membership.Accepted accepted,
            HeartbeatSource source,
            PeerTable peers,
            StopState stopState,
            PeerHandlers handlers,
            PeerLinks links,
            HttpPlatformReader platform,
            Workers workers,
            RandomGenerator random,
            MonotonicClock clock) {
        this.membership = membership;
        this.accepted = accepted;
        this.peers = peers;
        this.stopState = stopState;
        this.handlers = handlers;
        this.heartbeats = new Heartbeats(
                new Heartbeats.Plan(
                        source,
                        () -> PeerSelection.sameRegion(
                                accepted.views().current(),
                                accepted.configurations().current(),
                                identity),
                        HeartbeatPace::step),
                peers,
                links,
                workers,
                random,
                clock);
        this.otherRegions = new Heartbeats(
                new Heartbeats.Plan(
                        () -> source.get().withoutIdleSlots(),
                        () -> PeerSelection.otherRegions(
                                accepted.views().current(),
                                accepted.configurations().current(),
                                identity),
                        (count, heartbeat) -> OTHER_REGION_STEP),
                peers,
                links,
                workers,
                random,
                clock);
        ReadBudget budget = new ReadBudget(clock);
        this.configurationFeed = new PlatformFeed(
                CONFIGURATION_KEY, platform, configurationSink(accepted), budget, workers, random, clock);
        this.viewFeed = new PlatformFeed(VMS_KEY, platform, viewSink(accepted, clock), budget, workers, random, clock);
    }

    void start() {
        handlers.register(PeerMessage.Heartbeat.class, heartbeats::handle);
        handlers.register(PeerMessage.FetchConfiguration.class, (from, message) -> membership.configurationInForce());
        handlers.register(PeerMessage.FetchView.class, (from, message) -> membership.acceptedView());
        accepted.views().addListener(view -> peers.retain(List.copyOf(view.vms().keySet())));
        accepted.views().addListener(view -> heartbeats.announce());
        accepted.configurations().addListener(configuration -> heartbeats.announce());
        stopState.addListener(phase -> heartbeats.announce());
        heartbeats.start(membership::review);
        otherRegions.start(membership::review);
        configurationFeed.start();
        viewFeed.start();
    }

    @Override
    public void close() {
        configurationFeed.close();
        viewFeed.close();
        heartbeats.close();
        otherRegions.close();
    }

    /** Returns the state of the watches of the platform. */
    List<PlatformFeed.Status> platformStatus() {
        return List.of(configurationFeed.status(), viewFeed.status());
    }

    private static PlatformSink configurationSink(Membership.Accepted accepted) {
        return new PlatformSink() {
            @Override
            public void value(PlatformValue value, long askedNanos) {
                accepted.intake().offer(value.text(), "the platform");
            }

            @Override
            public void confirmed(long revision, long atNanos) {}
        };
    }

    private static PlatformSink viewSink(Membership.Accepted accepted, MonotonicClock clock) {
        return new PlatformSink() {
            @Override
            public void value(PlatformValue value, long askedNanos) {
                Duration age = Duration.ofNanos(clock.nowNanos() - askedNanos);
                accepted.viewIntake().offer(value.revision(), value.text(), age);
            }

            @Override
            public void confirmed(long revision, long atNanos) {
                if (revision >= accepted.views().current().revision()) {
                    accepted.views().confirm(atNanos);
                }
            }
        };
    }
}
