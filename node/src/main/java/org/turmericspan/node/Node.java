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

/** One running node: starts its parts in order and stops them in reverse. */
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
    private final SlotUpkeep slotUpkeep;
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
            SlotUpkeep slotUpkeep,
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
        this.slotUpkeep = slotUpkeep;
        this.plannedStop = plannedStop;
        this.nodeLifecycle = nodeLifecycle;
    }

    void start() {
        slotUpkeep.start();
        links.start();
        membership.start();
        prober.start(workerPool);
        operators.start(settings.operatorAddress());
        callers.start(settings.callerAddress());
        nodeLifecycle.enter(NodeLifecycle.Phase.SERVING);
        logger.atInfo().log("node: %s serves callers on %s", settings.vm(), settings.callerAddress());
    }

    /** Stops the node as planned: it cuts off no request in flight unless the limit of the stop passes. */
    @Override
    public void close() {
        logger.atInfo().log("node: %s stops", settings.vm());
        plannedStop.run().join();
        callers.close();
        membership.close();
        prober.close();
        probe.close();
        operators.close();
        slotUpkeep.close();
        links.close();
        platform.close();
        upstreams.close();
        workerPool.close();
        logger.atInfo().log("node: %s has stopped", settings.vm());
    }
}
