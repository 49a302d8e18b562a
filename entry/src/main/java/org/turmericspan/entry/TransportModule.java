package org.turmericspan.entry;

import dagger.Module;
import dagger.Provides;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import javax.inject.Singleton;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.ProbeBudget;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.EventLog;
import org.turmericspan.events.JsonEventLog;
import org.turmericspan.feed.CatchUp;
import org.turmericspan.feed.ReaderTreeSelector;
import org.turmericspan.feed.StoreFeed;
import org.turmericspan.feed.StoreProbes;
import org.turmericspan.forwarding.CallProtocol;
import org.turmericspan.forwarding.CallerAccess;
import org.turmericspan.forwarding.ForwardingDependencies;
import org.turmericspan.forwarding.ForwardingTables;
import org.turmericspan.forwarding.NoticeRecorder;
import org.turmericspan.forwarding.UpstreamProber;
import org.turmericspan.gossip.Gossip;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.http.BodyMemory;
import org.turmericspan.http.HttpClient;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.platform.DocumentDecoder;
import org.turmericspan.platform.PlatformCallProtocol;
import org.turmericspan.platform.StoreClient;
import org.turmericspan.tenancy.KeyCheck;
import org.turmericspan.zones.ZoneSharing;

/** Provides the event loops, clients, and the components that send and receive over the network. */
@Module
final class TransportModule {
    /** Threads of the worker pool; the users' VMs have one core. */
    private static final int WORKER_THREADS = 1;

    private TransportModule() {}

    @Provides
    @Singleton
    static MonotonicClock clock() {
        return MonotonicClock.system();
    }

    @Provides
    @Singleton
    static RandomGenerator random() {
        return new SplittableRandom();
    }

    @Provides
    @Singleton
    static EventLog log(EntrySettings settings, MonotonicClock clock) {
        return new JsonEventLog(settings.vm(), clock, System::currentTimeMillis, System.out);
    }

    @Provides
    @Singleton
    static EventLoopGroup workers() {
        return new MultiThreadIoEventLoopGroup(WORKER_THREADS, NioIoHandler.newFactory());
    }

    @Provides
    @Singleton
    static BodyMemory bodyMemory() {
        return BodyMemory.ofHeap();
    }

    @Provides
    @Singleton
    static HttpClient client(EventLoopGroup workers, BodyMemory memory, MonotonicClock clock) {
        return new HttpClient(workers, memory, clock);
    }

    @Provides
    @Singleton
    static CallProtocol protocol() {
        return new PlatformCallProtocol();
    }

    @Provides
    @Singleton
    static NoticeRecorder notices(UpstreamTable upstreams, CallProtocol protocol, EntryMetrics metrics, EventLog log) {
        return new NoticeRecorder(upstreams, protocol, metrics, log);
    }

    @Provides
    @Singleton
    static UpstreamProber prober(
            ForwardingTables tables,
            HttpClient client,
            CallProtocol protocol,
            NoticeRecorder notices,
            ProbeBudget budget,
            EventLoopGroup workers,
            MonotonicClock clock,
            EventLog log) {
        return new UpstreamProber(tables, client, protocol, notices, budget, workers.next(), clock, log);
    }

    @Provides
    @Singleton
    static Gossip gossip(
            MemberTable members,
            UpstreamTable upstreams,
            CrashSuspects suspects,
            SeedList seeds,
            Optional<ZoneSharing> zones,
            EventLoopGroup workers,
            RandomGenerator random) {
        Gossip gossip = new Gossip(members, upstreams, suspects, seeds, workers.next(), random);
        zones.ifPresent(gossip::shareZones);
        return gossip;
    }

    @Provides
    @Singleton
    static ReaderTreeSelector sources(
            EntrySettings settings, MemberTable members, MonotonicClock clock, RandomGenerator random) {
        return new ReaderTreeSelector(settings.storeAddress(), members, clock, random);
    }

    @Provides
    @Singleton
    static StoreFeed feed(
            EntrySettings settings,
            ReaderTreeSelector sourceSelector,
            HttpClient client,
            FleetListener listener,
            EventLoopGroup workers,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        return new StoreFeed(
                sourceSelector,
                new StoreClient(client, settings.changeLimits(), workers.next(), log),
                DocumentDecoder::decode,
                listener,
                settings.changeLimits(),
                workers.next(),
                clock,
                random,
                log);
    }

    @Provides
    @Singleton
    static StoreProbes storeProbes(
            EntrySettings settings,
            StoreFeed feed,
            ReaderTreeSelector sourceSelector,
            EventLoopGroup workers,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        return new StoreProbes(
                feed,
                sourceSelector.store(),
                sourceSelector::position,
                settings.changeLimits(),
                workers.next(),
                clock,
                random,
                log);
    }

    @Provides
    @Singleton
    static CatchUp catchUp(EntrySettings settings, StoreFeed feed, EventLoopGroup workers) {
        return new CatchUp(feed, settings.changeLimits(), workers.next());
    }

    @Provides
    @Singleton
    static CapService caps(
            EntrySettings settings,
            MemberTable members,
            ConfigurationHolder configuration,
            EntryMetrics metrics,
            EventLoopGroup workers,
            RandomGenerator random,
            MonotonicClock clock,
            EventLog log) {
        return new CapService(settings, members, configuration, metrics, workers, random, clock, log);
    }

    @Provides
    @Singleton
    static CallerAccess access(EntrySettings settings, StoreFeed feed, CapService caps) {
        long limitMillis = settings.changeLimits().changeLimitMillis();
        return new CallerAccess(new KeyCheck(() -> feed.confirmedAgeMillis() <= limitMillis), caps.gate());
    }

    @Provides
    @Singleton
    static ForwardingDependencies forwarding(
            ForwardingTables tables,
            HttpClient client,
            CallProtocol protocol,
            UpstreamProber prober,
            NoticeRecorder notices,
            EntryMetrics metrics,
            MonotonicClock clock,
            EventLog log) {
        return new ForwardingDependencies(tables, client, protocol, prober, notices, metrics, clock, log);
    }
}
