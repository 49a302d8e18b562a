package org.turmericspan.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.time.Duration;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationReceiver;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.HeartbeatFactory;
import org.turmericspan.membership.IdleSlotsReport;
import org.turmericspan.membership.Membership;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.membership.PeerState;
import org.turmericspan.membership.PeerTable;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.RejectedConfiguration;
import org.turmericspan.membership.ViewReceiver;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.publication.PlatformFeed;
import org.turmericspan.publication.PlatformValue;
import org.turmericspan.publication.VmListParser;
import org.turmericspan.tables.WorkerPool;

/** Wires the exchange of heartbeats and documents between nodes, and their sections of the state dump. */
@Module
final class MembershipModule {
    private MembershipModule() {}

    @Provides
    @Singleton
    static PeerTable peerTable(MonotonicClock clock) {
        return new PeerTable(clock);
    }

    @Provides
    @Singleton
    static Peers peers(PeerTable table) {
        return table;
    }

    @Provides
    @Singleton
    static HeartbeatFactory heartbeatFactory(
            NodeIdentity identity,
            ConfigurationTable configurations,
            ViewTable views,
            NodeLifecycle nodeLifecycle,
            IdleSlotsReport idleSlots,
            MonotonicClock clock) {
        return new HeartbeatFactory(identity, configurations, views, nodeLifecycle, idleSlots, clock);
    }

    @Provides
    @Singleton
    static ConfigurationReceiver configurationReceiver(
            ConfigurationTable table, MonotonicClock clock, MetricRegistry metrics) {
        Counter rejectedCounter = metrics.counter("configuration.refused");
        return new ConfigurationReceiver(table, clock, rejected -> rejectedCounter.inc());
    }

    @Provides
    @Singleton
    static ViewReceiver viewReceiver(ViewTable views) {
        VmListParser parser = new VmListParser();
        return new ViewReceiver((revision, text) -> parser.parse(new PlatformValue(revision, text)), views);
    }

    @Provides
    @Singleton
    static Membership.Documents documents(
            ConfigurationTable configurations,
            ConfigurationReceiver receiver,
            ViewTable views,
            ViewReceiver viewReceiver) {
        return new Membership.Documents(configurations, receiver, views, viewReceiver);
    }

    @Provides
    @Singleton
    static Membership membership(
            NodeIdentity identity,
            Membership.Documents documents,
            PeerTable peers,
            PeerLinks links,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        return new Membership(identity, documents, peers, links, workerPool, random, clock);
    }

    @Provides
    @IntoSet
    static StateSection peersSection(Peers peers, MonotonicClock clock) {
        return NamedSection.of(
                "peers",
                () -> peers.all().stream()
                        .map(peer -> PeerDump.of(peer, clock.nowNanos()))
                        .toList());
    }

    @Provides
    @IntoSet
    static StateSection rejectedConfigurations(ConfigurationReceiver receiver, MonotonicClock clock) {
        return NamedSection.of(
                "refused_configurations",
                () -> receiver.rejected().stream()
                        .map(rejected -> RejectedConfigurationDump.of(rejected, clock.nowNanos()))
                        .toList());
    }

    @Provides
    @IntoSet
    static StateSection platform(MembershipRunner runner) {
        return NamedSection.of(
                "platform",
                () -> runner.platformStatus().stream().map(PlatformDump::of).toList());
    }

    private static long millisSince(long sinceNanos, long nowNanos) {
        return Duration.ofNanos(nowNanos - sinceNanos).toMillis();
    }

    private record PeerDump(
            String vm,
            String incarnation,
            long configuration,
            @JsonProperty("view_revision") long viewRevision,
            boolean leaving,
            @JsonProperty("heard_age_ms") long lastHeardAgeMillis) {
        static PeerDump of(PeerState peer, long nowNanos) {
            return new PeerDump(
                    peer.vm().value(),
                    peer.incarnation().toString(),
                    peer.configuration().number(),
                    peer.viewRevision(),
                    peer.leaving(),
                    millisSince(peer.lastHeardNanos(), nowNanos));
        }
    }

    private record RejectedConfigurationDump(
            String digest,
            String source,
            String message,
            @JsonProperty("age_ms") long ageMillis) {
        static RejectedConfigurationDump of(RejectedConfiguration rejected, long nowNanos) {
            return new RejectedConfigurationDump(
                    rejected.digest(),
                    rejected.source(),
                    rejected.message(),
                    millisSince(rejected.rejectedNanos(), nowNanos));
        }
    }

    private record PlatformDump(
            String key,
            boolean failing,
            boolean regressed,
            @JsonProperty("confirmed_age_ms") long confirmedAgeMillis) {
        static PlatformDump of(PlatformFeed.Status status) {
            return new PlatformDump(status.key(), status.failing(), status.regressed(), status.confirmedAgeMillis());
        }
    }
}
