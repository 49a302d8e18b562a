package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.caps.CapGate;
import org.turmericspan.caps.CapNode;
import org.turmericspan.caps.CapPeer;
import org.turmericspan.caps.wire.CapTransport;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/**
 * The caps of this node, which open a socket with the first configuration that has a cap. Without settings of caps
 * nothing of them exists.
 */
final class CapService {
    private final Optional<CapNode> node;
    private final CapSettings settings;
    private final List<String> seedHosts;
    private final ConfigurationHolder configuration;
    private final EventLoopGroup workers;
    private final EventLog log;
    private final AtomicBoolean isOpen = new AtomicBoolean();

    CapService(
            EntrySettings entrySettings,
            MemberTable members,
            ConfigurationHolder configuration,
            EntryMetrics metrics,
            EventLoopGroup workers,
            RandomGenerator random,
            MonotonicClock clock,
            EventLog log) {
        this.settings = entrySettings.caps().orElse(null);
        this.seedHosts = entrySettings.seedHosts();
        this.configuration = configuration;
        this.workers = workers;
        this.log = log;
        this.node = entrySettings
                .caps()
                .map(caps -> new CapNode(
                        new CapPeer(caps.address(), entrySettings.availabilityZone(), true),
                        caps.limits(),
                        random.nextLong(),
                        () -> peers(members, caps.address()),
                        this::directory,
                        (delayNanos, action) -> workers.next().schedule(action, delayNanos, TimeUnit.NANOSECONDS),
                        metrics::capDecided,
                        clock));
    }

    /** Lists the nodes of the fleet with the addresses of their cap messages, whose port is the same on all. */
    private static List<CapPeer> peers(MemberTable members, SocketAddress self) {
        Set<SocketAddress> serving = new HashSet<>();
        for (Member member : members.aliveMembers()) {
            if (member.ready() && !member.leaving()) {
                serving.add(member.address());
            }
        }
        List<CapPeer> peers = new ArrayList<>();
        for (Member member : members.knownMembers()) {
            SocketAddress address = new SocketAddress(member.address().host(), self.port());
            boolean isAlive = address.equals(self) || serving.contains(member.address());
            peers.add(new CapPeer(address, member.availabilityZone(), isAlive));
        }
        return peers;
    }

    private TenantDirectory directory() {
        return configuration.current().map(RoutingConfiguration::tenants).orElse(TenantDirectory.NONE);
    }

    /** Returns the gate of the caps, which admits each request when there are no settings of caps. */
    CapGate gate() {
        return node.isPresent() ? node.get() : CapGate.OPEN;
    }

    /** Opens the socket if the configuration has a cap, and keeps the list of nodes recent. To be called often. */
    void refresh() {
        if (node.isEmpty()) {
            return;
        }
        if (!isOpen.get() && directory().tenants().stream().map(Tenant::cap).anyMatch(cap -> cap.isLimited())) {
            open(node.get());
        }
        if (isOpen.get()) {
            node.get().refresh();
        }
    }

    private void open(CapNode capNode) {
        if (isOpen.compareAndSet(false, true)) {
            if (settings.isFirstStart()) {
                capNode.establish();
            }
            capNode.expect(seeds(), settings.zones());
            CapTransport.open(workers, settings.address(), capNode::receive, log, transport -> {
                transport.ifPresent(capNode::start);
                isOpen.set(transport.isPresent());
            });
        }
    }

    /** Returns the addresses of the cap messages of the seeds, without this node. */
    private Set<SocketAddress> seeds() {
        Set<SocketAddress> seeds = new HashSet<>();
        for (String host : seedHosts) {
            seeds.add(new SocketAddress(host, settings.address().port()));
        }
        seeds.remove(settings.address());
        return seeds;
    }

    /** Describes the caps for operators, one line for each tenant that has one. */
    List<String> describe() {
        return isOpen.get() ? node.get().describe() : List.of();
    }
}
