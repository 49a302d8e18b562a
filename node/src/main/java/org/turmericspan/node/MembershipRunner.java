package org.turmericspan.node;

import java.time.Duration;
import java.util.List;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.HeartbeatExchange;
import org.turmericspan.membership.HeartbeatFactory;
import org.turmericspan.membership.HeartbeatInterval;
import org.turmericspan.membership.Membership;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.membership.PeerSelection;
import org.turmericspan.membership.PeerTable;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.publication.HttpPlatformReader;
import org.turmericspan.publication.PlatformFeed;
import org.turmericspan.publication.PlatformSink;
import org.turmericspan.publication.PlatformValue;
import org.turmericspan.publication.ReadBudget;
import org.turmericspan.publication.ViewSink;
import org.turmericspan.tables.WorkerPool;

/**
 * Keeps the configuration and the view current while the node runs, by watching the platform and by exchanging
 * heartbeats with the other nodes.
 */
@Singleton
final class MembershipRunner implements AutoCloseable {
    private static final String CONFIGURATION_KEY = "configuration";
    private static final String VMS_KEY = "vms";
    private static final Duration OTHER_REGION_INTERVAL = Duration.ofSeconds(1);

    private final Membership membership;
    private final Membership.Documents documents;
    private final PeerTable peers;
    private final NodeLifecycle nodeLifecycle;
    private final PeerHandlers handlers;
    private final HeartbeatExchange heartbeatExchange;
    private final HeartbeatExchange otherRegionsExchange;
    private final PlatformFeed configurationFeed;
    private final PlatformFeed viewFeed;

    @Inject
    MembershipRunner(
            NodeIdentity identity,
            Membership membership,
            Membership.Documents documents,
            HeartbeatFactory heartbeatFactory,
            PeerTable peers,
            NodeLifecycle nodeLifecycle,
            PeerHandlers handlers,
            PeerLinks links,
            HttpPlatformReader platform,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        this.membership = membership;
        this.documents = documents;
        this.peers = peers;
        this.nodeLifecycle = nodeLifecycle;
        this.handlers = handlers;
        this.heartbeatExchange = new HeartbeatExchange(
                new HeartbeatExchange.Plan(
                        heartbeatFactory,
                        () -> PeerSelection.sameRegion(
                                documents.views().current(),
                                documents.configurations().current(),
                                identity),
                        HeartbeatInterval::compute),
                peers,
                links,
                workerPool,
                random,
                clock);
        this.otherRegionsExchange = new HeartbeatExchange(
                new HeartbeatExchange.Plan(
                        () -> heartbeatFactory.get().withoutIdleSlots(),
                        () -> PeerSelection.otherRegions(
                                documents.views().current(),
                                documents.configurations().current(),
                                identity),
                        (count, heartbeat) -> OTHER_REGION_INTERVAL),
                peers,
                links,
                workerPool,
                random,
                clock);
        ReadBudget readBudget = new ReadBudget(clock);
        this.configurationFeed = new PlatformFeed(
                CONFIGURATION_KEY, platform, configurationSink(documents), readBudget, workerPool, random, clock);
        this.viewFeed = new PlatformFeed(
                VMS_KEY,
                platform,
                new ViewSink(documents.viewReceiver(), documents.views(), clock),
                readBudget,
                workerPool,
                random,
                clock);
    }

    void start() {
        handlers.register(PeerMessage.Heartbeat.class, heartbeatExchange::handle);
        handlers.register(
                PeerMessage.FetchConfiguration.class, (from, message) -> membership.activeConfigurationDocument());
        handlers.register(PeerMessage.FetchView.class, (from, message) -> membership.acceptedViewDocument());
        documents
                .views()
                .addListener(view -> peers.retainOnly(List.copyOf(view.vms().keySet())));
        documents.views().addListener(view -> heartbeatExchange.exchangeWithSample());
        documents.configurations().addListener(configuration -> heartbeatExchange.exchangeWithSample());
        nodeLifecycle.addListener(phase -> heartbeatExchange.exchangeWithSample());
        heartbeatExchange.start(membership::reconcile);
        otherRegionsExchange.start(membership::reconcile);
        configurationFeed.start();
        viewFeed.start();
    }

    @Override
    public void close() {
        configurationFeed.close();
        viewFeed.close();
        heartbeatExchange.close();
        otherRegionsExchange.close();
    }

    /** Returns the status of each watch of the platform. */
    List<PlatformFeed.Status> platformStatus() {
        return List.of(configurationFeed.status(), viewFeed.status());
    }

    private static PlatformSink configurationSink(Membership.Documents documents) {
        return new PlatformSink() {
            @Override
            public void value(PlatformValue value, long requestedNanos) {
                documents.configurationReceiver().offer(value.text(), "the platform");
            }

            @Override
            public void confirmed(long revision, long confirmedNanos) {}
        };
    }
}
