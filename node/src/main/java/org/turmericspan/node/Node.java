package org.turmericspan.node;

import com.google.common.flogger.FluentLogger;
import java.util.random.RandomGenerator;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.front.CallerServer;
import org.turmericspan.front.OperatorServer;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.peer.NettyPeerLinks;
import org.turmericspan.platform.HttpPlatformReader;
import org.turmericspan.platform.PlatformFeed;
import org.turmericspan.platform.VmListParser;
import org.turmericspan.tables.Workers;
import org.turmericspan.upstream.HttpUpstreamSender;

/** One running node: starts its parts in order and stops them in reverse. */
@Singleton
final class Node implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final String CONFIGURATION_KEY = "configuration";
    private static final String VMS_KEY = "vms";

    private final NodeSettings settings;
    private final Workers workers;
    private final NettyPeerLinks links;
    private final HttpPlatformReader platform;
    private final HttpUpstreamSender upstreams;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final PlatformFeed configurationFeed;
    private final PlatformFeed viewFeed;
    private final KeptUpstreams keptUpstreams;
    private final PlannedStop plannedStop;

    @Inject
    Node(
            NodeSettings settings,
            Workers workers,
            NettyPeerLinks links,
            HttpPlatformReader platform,
            HttpUpstreamSender upstreams,
            CallerServer callers,
            OperatorServer operators,
            ConfigurationTable configurations,
            ViewTable views,
            KeptUpstreams keptUpstreams,
            PlannedStop plannedStop,
            RandomGenerator random) {
        this.settings = settings;
        this.workers = workers;
        this.links = links;
        this.platform = platform;
        this.upstreams = upstreams;
        this.callers = callers;
        this.operators = operators;
        this.keptUpstreams = keptUpstreams;
        this.plannedStop = plannedStop;
        ConfigurationReader reader = new ConfigurationReader();
        VmListParser parser = new VmListParser();
        this.configurationFeed = new PlatformFeed(
                CONFIGURATION_KEY, platform, value -> configurations.offer(reader.read(value.text())), workers, random);
        this.viewFeed = new PlatformFeed(VMS_KEY, platform, value -> views.offer(parser.parse(value)), workers, random);
    }

    void start() {
        keptUpstreams.start();
        links.start();
        configurationFeed.start();
        viewFeed.start();
        operators.start(settings.operatorAddress());
        callers.start(settings.callerAddress());
        logger.atInfo().log("node: %s serves callers on %s", settings.vm(), settings.callerAddress());
    }

    /** Stops the node as planned: it cuts off no request in flight unless the limit of the stop passes. */
    @Override
    public void close() {
        logger.atInfo().log("node: %s stops", settings.vm());
        plannedStop.run().join();
        callers.close();
        configurationFeed.close();
        viewFeed.close();
        operators.close();
        links.close();
        platform.close();
        upstreams.close();
        workers.close();
        logger.atInfo().log("node: %s has stopped", settings.vm());
    }
}
