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
import org.turmericspan.membership.ConfigurationIntake;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.HeartbeatSource;
import org.turmericspan.membership.IdleSlotsReport;
import org.turmericspan.membership.Membership;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.PeerState;
import org.turmericspan.membership.PeerTable;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.Refusal;
import org.turmericspan.membership.StopState;
import org.turmericspan.membership.ViewIntake;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.publication.PlatformFeed;
import org.turmericspan.publication.PlatformValue;
import org.turmericspan.publication.VmListParser;
import org.turmericspan.tables.Workers;

/** Wires the exchange of heartbeats and documents between nodes. */
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
    static HeartbeatSource heartbeatSource(
            NodeIdentity identity,
            ConfigurationTable configurations,
            ViewTable views,
            StopState stopState,
            IdleSlotsReport idleSlots,
            MonotonicClock clock) {
        return new HeartbeatSource(identity, configurations, views, stopState, idleSlots, clock);
    }

    @Provides
    @Singleton
    static ConfigurationIntake configurationIntake(
            ConfigurationTable table, MonotonicClock clock, MetricRegistry metrics) {
        Counter refused = metrics.counter("configuration.refused");
        return new ConfigurationIntake(table, clock, refusal -> refused.inc());
    }

    @Provides
    @Singleton
    static ViewIntake viewIntake(ViewTable views) {
        VmListParser parser = new VmListParser();
        return new ViewIntake((revision, text) -> parser.parse(new PlatformValue(revision, text)), views);
    }

    @Provides
    @Singleton
    static Membership.Accepted accepted(
            ConfigurationTable configurations, ConfigurationIntake intake, ViewTable views, ViewIntake viewIntake) {
        return new Membership.Accepted(configurations, intake, views, viewIntake);
    }

    @Provides
    @Singleton
    static Membership membership(
            NodeIdentity identity,
            Membership.Accepted accepted,
            PeerTable peers,
            PeerLinks links,
            Workers workers,
            RandomGenerator random,
            MonotonicClock clock) {
        return new Membership(identity, accepted, peers, links, workers, random, clock);
    }

    @Provides
    @IntoSet
    static StateSection peersSection(Peers peers, MonotonicClock clock) {
        return NamedSection.of(
                "peers",
                () -> peers.all().stream()
                        .map(peer -> PeerLine.of(peer, clock.nowNanos()))
                        .toList());
    }

    @Provides
    @IntoSet
    static StateSection refusals(ConfigurationIntake intake, MonotonicClock clock) {
        return NamedSection.of(
                "refused_configurations",
                () -> intake.refusals().stream()
                        .map(refusal -> RefusalLine.of(refusal, clock.nowNanos()))
                        .toList());
    }

    @Provides
    @IntoSet
    static StateSection platform(MembershipRunner runner) {
        return NamedSection.of(
                "platform",
                () -> runner.platformStatus().stream().map(PlatformLine::of).toList());
    }

    private static long millisSince(long thenNanos, long nowNanos) {
        return Duration.ofNanos(nowNanos - thenNanos).toMillis();
    }

    private record PeerLine(
            String vm,
            String incarnation,
            long configuration,
            @JsonProperty("view_revision") long viewRevision,
            boolean leaving,
            @JsonProperty("heard_age_ms") long heardAgeMillis) {
        static PeerLine of(PeerState peer, long nowNanos) {
            return new PeerLine(
                    peer.vm().value(),
                    peer.incarnation().toString(),
                    peer.configuration().number(),
                    peer.viewRevision(),
                    peer.leaving(),
                    millisSince(peer.heardNanos(), nowNanos));
        }
    }

    private record RefusalLine(
            String digest,
            String source,
            String message,
            @JsonProperty("age_ms") long ageMillis) {
        static RefusalLine of(Refusal refusal, long nowNanos) {
            return new RefusalLine(
                    refusal.digest(),
                    refusal.source(),
                    refusal.message(),
                    millisSince(refusal.refusedNanos(), nowNanos));
        }
    }

    private record PlatformLine(
            String key,
            boolean failing,
            boolean regressed,
            @JsonProperty("confirmed_age_ms") long confirmedAgeMillis) {
        static PlatformLine of(PlatformFeed.Status status) {
            return new PlatformLine(status.key(), status.failing(), status.regressed(), status.confirmedAgeMillis());
        }
    }
}
