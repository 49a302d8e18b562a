package org.turmericspan.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.util.function.Supplier;
import javax.inject.Named;
import javax.inject.Singleton;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.dispatch.AttemptHandler;
import org.turmericspan.dispatch.AttemptTimer;
import org.turmericspan.dispatch.CrashDetector;
import org.turmericspan.dispatch.SuspectHandler;
import org.turmericspan.dispatch.SuspectTracker;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.retry.LostConnections;
import org.turmericspan.retry.SuspectTable;
import org.turmericspan.retry.Suspicion;
import org.turmericspan.retry.TrialPermit;
import org.turmericspan.upstream.HttpUpstreamSender;

/** Wires the detection and quarantine of requests that crash upstreams. */
@Module
final class SuspectModule {
    /** Qualifier of the handler that makes attempts, with isolated trials of suspects unless they are disabled. */
    static final String ATTEMPTS = "attempts";

    private static final String DISABLED = "none";

    private SuspectModule() {}

    @Provides
    @Singleton
    static SuspectTable suspectTable(MonotonicClock clock, MetricRegistry metrics) {
        SuspectTable table = new SuspectTable(clock);
        metrics.register("suspects", (Gauge<Integer>) () -> table.dump().size());
        metrics.register("suspects.quarantined", (Gauge<Long>) () -> quarantined(table));
        return table;
    }

    @Provides
    @Singleton
    static LostConnections lostConnections(MonotonicClock clock) {
        return new LostConnections(clock);
    }

    @Provides
    @Singleton
    static PeerSuspects peerSuspects(
            NodeIdentity identity,
            ViewTable views,
            PeerLinks links,
            PeerHandlers handlers,
            SuspectTable table,
            MonotonicClock clock) {
        PeerSuspects peerSuspects =
                new PeerSuspects(identity.vm(), views::current, links, table, new TrialPermit(clock));
        handlers.register(PeerMessage.ShareSuspects.class, peerSuspects);
        handlers.register(PeerMessage.BeginTrial.class, peerSuspects);
        handlers.register(PeerMessage.EndTrial.class, peerSuspects);
        return peerSuspects;
    }

    @Provides
    @Singleton
    static CrashDetector crashDetector(
            NodeSettings settings,
            SuspectTable table,
            LostConnections lostConnections,
            PeerSuspects peerSuspects,
            HttpUpstreamSender sender) {
        return settings.suspectPolicy().equals(DISABLED)
                ? CrashDetector.none()
                : new SuspectTracker(table, lostConnections, peerSuspects, sender::isRefused);
    }

    @Provides
    @Singleton
    @Named(ATTEMPTS)
    static CallHandler attempts(
            NodeSettings settings,
            AttemptHandler attempts,
            SuspectTable table,
            LostConnections lostConnections,
            PeerSuspects peerSuspects,
            AttemptTimer timer,
            MonotonicClock clock) {
        return settings.suspectPolicy().equals(DISABLED)
                ? attempts
                : new SuspectHandler(attempts, table, lostConnections, peerSuspects, timer, clock);
    }

    @Provides
    @IntoSet
    static StateSection suspectSection(SuspectTable table) {
        Supplier<Object> source =
                () -> table.dump().stream().map(SuspectDump::of).toList();
        return NamedSection.of("suspects", source);
    }

    private static long quarantined(SuspectTable table) {
        return table.dump().stream().filter(Suspicion::isQuarantined).count();
    }

    private record SuspectDump(
            String fingerprint,
            @JsonProperty("upstreams_lost") int crashedUpstreams,
            boolean quarantined,
            @JsonProperty("expires_in_ms") long expiresInMillis) {
        static SuspectDump of(Suspicion suspicion) {
            return new SuspectDump(
                    suspicion.fingerprint().toString(),
                    suspicion.crashedUpstreams().size(),
                    suspicion.isQuarantined(),
                    suspicion.remaining().toMillis());
        }
    }
}
