package org.turmericspan.entry;

import dagger.Module;
import dagger.Provides;
import java.util.Optional;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.FleetUpdater;
import org.turmericspan.balancing.ProbeBudget;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRoundRobin;
import org.turmericspan.balancing.WindowedRetryBudget;
import org.turmericspan.events.EventLog;
import org.turmericspan.forwarding.CallerAccess;
import org.turmericspan.forwarding.ForwardingTables;
import org.turmericspan.forwarding.PollingWaits;
import org.turmericspan.forwarding.QueuedWaits;
import org.turmericspan.forwarding.UpstreamWaits;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.zones.RequestObserver;
import org.turmericspan.zones.ZoneSharing;

/** Provides the state of the fleet and the load-balancing policies that work on it. */
@Module
final class BalancingModule {
    private BalancingModule() {}

    @Provides
    @Singleton
    static ConfigurationHolder configuration() {
        return new ConfigurationHolder();
    }

    @Provides
    @Singleton
    static MemberTable members(EntrySettings settings, MonotonicClock clock, RandomGenerator random, EventLog log) {
        Member self = new Member(
                settings.gossipAddress(),
                settings.callerAddress(),
                settings.availabilityZone(),
                random.nextInt(),
                false,
                false,
                false,
                clock.nowNanos());
        return new MemberTable(self, clock, log);
    }

    @Provides
    @Singleton
    static UpstreamTable upstreams(
            EntrySettings settings,
            MemberTable members,
            ConfigurationHolder configuration,
            MonotonicClock clock,
            RandomGenerator random) {
        return new UpstreamTable(
                settings.availabilityZone(), members.ownership(), settings.rules(), configuration, clock, random);
    }

    /** Provides the sharing of work between zones; empty unless the settings switch it on. */
    @Provides
    @Singleton
    static Optional<ZoneSharing> zones(
            EntrySettings settings,
            UpstreamTable upstreams,
            MemberTable members,
            EntryMetrics metrics,
            MonotonicClock clock,
            EventLog log) {
        if (settings.crossingCost().isEmpty()) {
            return Optional.empty();
        }
        ZoneSharing zones = new ZoneSharing(
                settings.availabilityZone(),
                settings.crossingCost().get(),
                new FleetZone(upstreams, members),
                clock,
                log);
        upstreams.shareZones(zones);
        metrics.registerGauges("zone_leaving_percent_", zones::leavingPercents);
        metrics.registerGauges("zone_report_age_ms_", zones::reportAgesMillis);
        return Optional.of(zones);
    }

    @Provides
    @Singleton
    static WindowedRetryBudget repeats(EntrySettings settings, MemberTable members, MonotonicClock clock) {
        return new WindowedRetryBudget(settings.rules(), members::fleetSize, clock);
    }

    @Provides
    @Singleton
    static ProbeBudget probeBudget(
            EntrySettings settings, UpstreamTable upstreams, MemberTable members, MonotonicClock clock) {
        return new ProbeBudget(settings.probesPerSecond(), upstreams::size, members::fleetSize, clock);
    }

    @Provides
    @Singleton
    static CrashSuspects suspects(MonotonicClock clock) {
        return new CrashSuspects(clock);
    }

    @Provides
    @Singleton
    static WeightedRoundRobin rotation(RandomGenerator random) {
        return new WeightedRoundRobin(random);
    }

    @Provides
    @Singleton
    static UpstreamWaits waits(
            EntrySettings settings, UpstreamTable upstreams, EntryMetrics metrics, MonotonicClock clock) {
        if (settings.waitingRoomRequests() == 0) {
            return new PollingWaits(upstreams);
        }
        QueuedWaits waits = new QueuedWaits(settings.waitingRoomRequests(), upstreams, metrics, clock);
        upstreams.outlook().setListener(waits);
        return waits;
    }

    @Provides
    @Singleton
    static ForwardingTables tables(
            ConfigurationHolder configuration,
            CallerAccess access,
            UpstreamTable upstreams,
            WeightedRoundRobin roundRobin,
            WindowedRetryBudget repeats,
            CrashSuspects suspects,
            Optional<ZoneSharing> zones,
            UpstreamWaits waits) {
        RequestObserver observer = zones.isPresent() ? zones.get() : RequestObserver.none();
        return new ForwardingTables(configuration, access, upstreams, roundRobin, repeats, suspects, observer, waits);
    }

    @Provides
    @Singleton
    static FleetListener fleet(ConfigurationHolder configuration, UpstreamTable upstreams, EventLog log) {
        return new FleetUpdater(configuration, upstreams, log);
    }
}
