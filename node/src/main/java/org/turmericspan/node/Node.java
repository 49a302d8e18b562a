package org.turmericspan.node;

import com.google.common.flogger.FluentLogger;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.front.CallerServer;
import org.turmericspan.front.OperatorServer;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.peer.NettyPeerLinks;
import org.turmericspan.probing.Prober;
import org.turmericspan.publication.HttpPlatformReader;
import org.turmericspan.tables.WorkerPool;
import org.turmericspan.upstream.HttpUpstreamProbe;
import org.turmericspan.upstream.HttpUpstreamSender;

/** A running node: starts its components in order and closes them after a planned stop. */
@Singleton
final class Node implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeSettings settings;
    private final WorkerPool workerPool;
    private final NettyPeerLinks links;
    private final HttpPlatformReader platform;
    private final HttpUpstreamSender upstreams;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final MembershipRunner membership;
    private final Prober prober;
    private final HttpUpstreamProbe probe;
    private final SlotMaintenance slotMaintenance;
    private final PlannedStop plannedStop;
    private final NodeLifecycle nodeLifecycle;

    @Inject
    Node(
            NodeSettings settings,
            WorkerPool workerPool,
            NettyPeerLinks links,
            HttpPlatformReader platform,
            HttpUpstreamSender upstreams,
            CallerServer callers,
            OperatorServer operators,
            MembershipRunner membership,
            Prober prober,
            HttpUpstreamProbe probe,
            SlotMaintenance slotMaintenance,
            PlannedStop plannedStop,
            NodeLifecycle nodeLifecycle) {
        this.settings = settings;
        this.workerPool = workerPool;
        this.links = links;
        this.platform = platform;
        this.upstreams = upstreams;
        this.callers = callers;
        this.operators = operators;
        this.membership = membership;
        this.prober = prober;
        this.probe = probe;
        this.slotMaintenance = slotMaintenance;
        this.plannedStop = plannedStop;
        this.nodeLifecycle = nodeLifecycle;
    }

    void start() {
        slotMaintenance.start();
        links.start();
        membership.start();
        prober.start(workerPool);
        operators.start(settings.operatorAddress());
        callers.start(settings.callerAddress());
        nodeLifecycle.enter(NodeLifecycle.Phase.SERVING);
        logger.atInfo().log("node: %s serves callers on %s", settings.vm(), settings.callerAddress());
    }

    /** Performs a planned stop: requests in flight complete unless the limit of the stop expires first. */
    @Override
    public void close() {
        logger.atInfo().log("node: %s is stopping", settings.vm());
        plannedStop.run().join();
        callers.close();
        membership.close();
        prober.close();
        probe.close();
        operators.close();
        slotMaintenance.close();
        links.close();
        platform.close();
        upstreams.close();
        workerPool.close();
        logger.atInfo().log("node: %s stopped", settings.vm());
    }
}
