package org.turmericspan.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import java.util.Optional;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.peer.LinkContext;
import org.turmericspan.peer.NettyPeerLinks;
import org.turmericspan.peer.PeerDirectory;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.peer.PeerSettings;
import org.turmericspan.peer.PeerTraffic;
import org.turmericspan.tables.WorkerPool;

/** Wires the links between nodes and their traffic metrics. */
@Module
final class PeerModule {
    private PeerModule() {}

    @Provides
    @Singleton
    static PeerHandlers handlers() {
        return new PeerHandlers();
    }

    @Provides
    @Singleton
    static PeerDirectory directory(ViewTable views) {
        return peer -> Optional.ofNullable(views.current().vms().get(peer)).flatMap(Vm::peerAddress);
    }

    @Provides
    @Singleton
    static PeerTraffic traffic(MetricRegistry metrics) {
        Meter sentBytes = metrics.meter("peer.bytes.sent");
        Meter sentMessages = metrics.meter("peer.messages.sent");
        Meter receivedBytes = metrics.meter("peer.bytes.received");
        Meter receivedMessages = metrics.meter("peer.messages.received");
        return new PeerTraffic() {
            @Override
            public void sent(int bytes) {
                sentBytes.mark(bytes);
                sentMessages.mark();
            }

            @Override
            public void received(int bytes) {
                receivedBytes.mark(bytes);
                receivedMessages.mark();
            }
        };
    }

    @Provides
    @Singleton
    static NettyPeerLinks nettyLinks(
            NodeSettings settings,
            NodeIdentity identity,
            PeerDirectory directory,
            PeerHandlers handlers,
            WorkerPool workerPool,
            MonotonicClock clock,
            RandomGenerator random,
            PeerTraffic traffic) {
        PeerSettings peerSettings = new PeerSettings(
                identity.vm(), identity.incarnation(), settings.peerAddress(), settings.deploymentKey());
        return new NettyPeerLinks(
                new LinkContext(peerSettings, directory, handlers, workerPool::execute, clock, random, traffic));
    }

    @Provides
    @Singleton
    static PeerLinks links(NettyPeerLinks links) {
        return links;
    }
}
