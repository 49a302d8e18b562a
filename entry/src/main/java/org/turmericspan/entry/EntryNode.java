package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.CatchUp;
import org.turmericspan.feed.StoreFeed;
import org.turmericspan.feed.StoreProbes;
import org.turmericspan.forwarding.ForwardingDependencies;
import org.turmericspan.forwarding.ForwardingService;
import org.turmericspan.forwarding.UpstreamProber;
import org.turmericspan.gossip.Gossip;
import org.turmericspan.gossip.GossipTransport;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.http.BodyMemory;
import org.turmericspan.http.HttpClient;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.platform.DirectoryService;
import org.turmericspan.platform.FeedRelay;

/** An entry node: starts its components, reports when it is ready, and drains requests before it stops. */
@Singleton
final class EntryNode implements AutoCloseable {
    /** Interval between checks of the readiness, and of open connections during a stop. */
    private static final long POLL_INTERVAL_MILLIS = 20;
    /** Interval between checks whether the node has contact with the store. */
    private static final long STORE_CHECK_INTERVAL_MILLIS = 1_000;
    /** Interval between checks of the settings file for changes that no signal announced. */
    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 2_000;
    /** Time after the first probes at which the node becomes ready although few upstreams have responded. */
    private static final long MAX_PROBE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Time after the first contact with another node within which updates of the fleet arrive. */
    private static final long JOIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Time after the start at which a node that has discovered no other node continues alone. */
    private static final long DISCOVERY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Minimum number of addresses in a response; nodes of other zones fill it up if too few of the zone are ready. */
    private static final int MIN_ADDRESSES = 2;
    /** Maximum number of addresses that a caller accepts. */
    private static final int MAX_ADDRESSES = 64;
    /** Age of the last news of a node up to which callers get its address. */
    private static final long MAX_LISTED_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);
    /** Divisor of the grace period that yields the part reserved for the exit of the process. */
    private static final int EXIT_RESERVE_DIVISOR = 8;
    /** Time for which a stopping node keeps idle connections open, since callers may be about to use them. */
    private static final long IDLE_KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
    /** Time without a request after which a stopping node closes a connection. */
    private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Divisor of the grace period that yields the maximum time to send the last responses; within the reserve. */
    private static final int LAST_RESPONSES_DIVISOR = 16;

    /** Number of nodes above which periodic probes are sent less often. */
    private static final int LARGE_FLEET = 32;

    private static final int OK = 200;
    private static final String PART = "node";

    private final EntrySettings settings;
    private final SeedList seeds;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final MemberTable members;
    private final Gossip gossip;
    private final StoreFeed feed;
    private final StoreProbes storeProbes;
    private final CatchUp catchUp;
    private final UpstreamProber prober;
    private final HttpClient client;
    private final BodyMemory memory;
    private final ForwardingDependencies forwarding;
    private final CapService caps;
    private final EntryMetrics metrics;
    private final EventLoopGroup workers;
    private final MonotonicClock clock;
    private final EventLog log;
    private SettingsFile settingsFile;
    private HttpListener callers;
    private ForwardingService service;
    private ScheduledFuture<?> readinessCheck;
    private long startedNanos;
    private long firstContactNanos;
    private long probingStartNanos;
    private volatile boolean canServe;
    private volatile boolean leaving;

    @Inject
    EntryNode(
            EntrySettings settings,
            SeedList seeds,
            ConfigurationHolder configuration,
            UpstreamTable upstreams,
            MemberTable members,
            Gossip gossip,
            StoreFeed feed,
            StoreProbes storeProbes,
            CatchUp catchUp,
            UpstreamProber prober,
            HttpClient client,
            BodyMemory memory,
            ForwardingDependencies forwarding,
            CapService caps,
            EntryMetrics metrics,
            EventLoopGroup workers,
            MonotonicClock clock,
            EventLog log) {
        this.settings = settings;
        this.seeds = seeds;
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.members = members;
        this.gossip = gossip;
        this.feed = feed;
        this.storeProbes = storeProbes;
        this.catchUp = catchUp;
        this.prober = prober;
        this.client = client;
        this.memory = memory;
        this.forwarding = forwarding;
        this.caps = caps;
        this.metrics = metrics;
        this.workers = workers;
        this.clock = clock;
        this.log = log;
    }

    /** Starts listening immediately; the node becomes ready when it knows the fleet. */
    void start(SettingsFile file) {
        settingsFile = file;
        startedNanos = clock.nowNanos();
        DirectoryService directory =
                new DirectoryService(this::readyAddresses, this::isReady, settings.directoryTtlSeconds());
        listen(settings.directoryAddress(), directory);
        listen(settings.readinessAddress(), directory);
        listenForOperators();
        listen(settings.gossipAddress(), new FeedRelay(feed));
        registerGauges();
        service = new ForwardingService(forwarding);
        callers = listen(settings.callerAddress(), service);
        feed.onNews(source -> gossip.announceNews(source.isStore()));
        feed.start();
        storeProbes.start();
        gossip.describeReplica(feed::replicaState);
        gossip.onReplicaState(catchUp::compare);
        gossip.start(new GossipTransport(workers, settings.gossipAddress(), gossip::receive, clock, log));
        readinessCheck = workers.scheduleWithFixedDelay(
                this::checkReadiness, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        log.write(Event.notice(PART, "Started.").with("callers", settings.callerAddress()));
    }

    /** Starts the listener for metrics and the state dump. The node serves callers even if that fails. */
    private void listenForOperators() {
        try {
            listen(settings.metricsAddress(), operatorService());
        } catch (Exception e) {
            log.write(Event.failure(PART, "Metrics listener not started, no metrics served.")
                    .with("address", settings.metricsAddress())
                    .with("cause", e));
        }
    }

    private void registerGauges() {
        metrics.registerGauge("store_calls", feed::calls);
        metrics.registerGauge("store_lists", feed.lists()::lists);
        metrics.registerGauge("store_lists_refused", feed.lists()::refusedLists);
        metrics.registerGauge("store_era", () -> feed.position().era());
        metrics.registerGauge("store_revision", () -> feed.position().revision());
        metrics.registerGauge("store_confirmed_age_ms", feed::confirmedAgeMillis);
        metrics.registerGauge("store_catch_up_reads", catchUp::reads);
        metrics.registerGauge("probes", prober::probesSent);
        metrics.registerGauge("connections_opened", client::opened);
        metrics.registerFaults(client.faults());
        metrics.registerGauge("members_alive", () -> members.aliveMembers().size());
        metrics.registerGauge("members_known", members::fleetSize);
        metrics.registerGauge("upstreams_known", upstreams::size);
        metrics.registerGauge("requests_under_way", () -> callers.requests());
        metrics.registerGauge(
                "configuration_version",
                () -> configuration.current().map(RoutingConfiguration::version).orElse(0L));
        metrics.registerGauge("request_body_bytes", memory::requestBytes);
        metrics.registerGauge("response_body_bytes", memory::responseBytes);
        metrics.registerGauge(
                "memory_used_bytes",
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }

    private HttpListener listen(SocketAddress address, HttpService service) {
        return new HttpListener(workers, address, service, this::limits, memory, clock, log);
    }

    private ListenerLimits limits() {
        RequestLimits current =
                configuration.current().map(RoutingConfiguration::limits).orElse(RequestLimits.DEFAULT);
        return new ListenerLimits(
                current.maxHeaderBytes(),
                current.maxBodyBytes(),
                current.headerTimeoutNanos(),
                current.idleTimeoutNanos());
    }

    private HttpService operatorService() {
        return (request, reply) -> reply.send(
                request.path().endsWith("/state")
                        ? ResponseMessage.text(OK, "text/plain", describeState())
                        : ResponseMessage.text(OK, "text/plain", metrics.text()));
    }

    private String describeState() {
        List<String> lines = new ArrayList<>();
        lines.add("version "
                + configuration.current().map(RoutingConfiguration::version).orElse(0L));
        members.aliveMembers().forEach(member -> lines.add("member " + member));
        upstreams.describe().forEach(line -> lines.add("upstream " + line));
        caps.describe().forEach(line -> lines.add("tenant " + line));
        return String.join("\n", lines) + "\n";
    }

    /**
     * Advances the startup: the node probes when it knows the fleet, becomes ready when upstreams respond to probes,
     * and then joins the division of upstreams among owners.
     */
    private void checkReadiness() {
        long nowNanos = clock.nowNanos();
        caps.refresh();
        if (firstContactNanos == 0 && members.aliveMembers().size() > 1) {
            firstContactNanos = nowNanos;
        }
        if (probingStartNanos == 0
                && feed.isComplete()
                && configuration.current().isPresent()) {
            probingStartNanos = nowNanos;
            prober.start(settings.probeIntervalMillis());
        }
        if (!canServe
                && probingStartNanos != 0
                && (upstreams.hasRecentObservations() || nowNanos - probingStartNanos > MAX_PROBE_WAIT_NANOS)) {
            canServe = true;
            members.updateSelf(true, leaving, feed.hasStoreContact());
            gossip.broadcast();
            logStartupPhase("Ready.", nowNanos);
        }
        boolean hasDiscoveryEnded = firstContactNanos != 0 && nowNanos - firstContactNanos > JOIN_DELAY_NANOS
                || nowNanos - startedNanos > DISCOVERY_TIMEOUT_NANOS;
        if (canServe && hasDiscoveryEnded) {
            members.enableOwnership();
            prober.probeOwnedOnly(members.aliveMembers().size() > LARGE_FLEET);
            readinessCheck.cancel(false);
            workers.scheduleWithFixedDelay(
                    this::publishStoreContact,
                    STORE_CHECK_INTERVAL_MILLIS,
                    STORE_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            workers.scheduleWithFixedDelay(
                    this::reloadIfChanged,
                    SETTINGS_CHECK_INTERVAL_MILLIS,
                    SETTINGS_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
            logStartupPhase("Joined.", nowNanos);
        }
    }

    private void logStartupPhase(String message, long nowNanos) {
        log.write(Event.notice(PART, message)
                .with("members", members.aliveMembers().size())
                .with("afterMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos)));
    }

    /** Announces whether other nodes can read the store through this node; the caps read the fleet and the tenants. */
    private void publishStoreContact() {
        caps.refresh();
        if (!leaving && members.self().reading() != feed.hasStoreContact()) {
            members.updateSelf(true, false, feed.hasStoreContact());
        }
    }

    private boolean isReady() {
        return canServe && !leaving;
    }

    /** Returns addresses of ready nodes in the caller's zone, and of other zones if that has too few. */
    private List<SocketAddress> readyAddresses(String zone) {
        List<Member> ready = members.heardWithin(MAX_LISTED_AGE_NANOS).stream()
                .filter(member -> member.ready() && !member.leaving())
                .toList();
        List<Member> listed = new ArrayList<>(ready.stream()
                .filter(member -> member.availabilityZone().value().equals(zone))
                .toList());
        for (Member member : ready) {
            if (listed.size() < MIN_ADDRESSES && !listed.contains(member)) {
                listed.add(member);
            }
        }
        return listed.stream().limit(MAX_ADDRESSES).map(Member::callerAddress).toList();
    }

    /** Runs an action, which is to end the process, when a worker has ended. */
    void watchWorkers(Runnable action) {
        WorkerWatch.start(workers, log, () -> {
            closeLog();
            action.run();
        });
    }

    /** Reloads the settings file and applies its seeds. Changes of other settings need a restart of the process. */
    void reload() {
        try {
            EntrySettings reloaded = settingsFile.read();
            seeds.replace(reloaded);
            log.write(Event.notice(PART, "Settings read.")
                    .with("changed", !reloaded.equals(settings))
                    .with("seeds", reloaded.seedHosts()));
        } catch (IOException | InvalidEntrySettingsException e) {
            log.write(Event.failure(PART, "Settings not read, previous settings stay active.")
                    .with("reason", e.getMessage()));
        }
    }

    private void reloadIfChanged() {
        try {
            if (settingsFile.hasChanged()) {
                reload();
            }
        } catch (IOException e) {
            log.write(
                    Event.notice(PART, "Settings file not checked for changes.").with("reason", e.getMessage()));
        }
    }

    @Override
    public void close() {
        long stopNanos = clock.nowNanos();
        long endNanos = stopNanos + settings.graceNanos() - settings.graceNanos() / EXIT_RESERVE_DIVISOR;
        leaving = true;
        members.updateSelf(canServe, true, false);
        gossip.broadcast();
        service.stopAt(endNanos);
        callers.drain();
        log.write(Event.notice(PART, "Stopping.").with("requests", callers.requests()));
        pollUntil(Math.min(stopNanos + IDLE_KEEP_NANOS, endNanos), () -> false);
        pollUntil(endNanos, () -> {
            callers.closeIdle(MIN_IDLE_NANOS);
            return callers.connections() == 0 || !callers.isTransferring() && service.isQuiet();
        });
        endRequests(endNanos);
        log.write(Event.notice(PART, "Stopped.")
                .with("requests", callers.requests())
                .with("receiving", callers.receiving())
                .with("sending", callers.sending())
                .with("idleClosed", callers.idleClosed()));
        closeLog();
    }

    /** Accepts no more requests, and responds to those that are left when the time is over. */
    private void endRequests(long endNanos) {
        callers.close();
        service.stopAt(clock.nowNanos());
        pollUntil(endNanos, () -> callers.requests() == 0);
        log.write(Event.notice(PART, "Ending requests in progress.").with("requests", callers.requests()));
        service.endRequests();
        pollUntil(clock.nowNanos() + settings.graceNanos() / LAST_RESPONSES_DIVISOR, () -> {
            callers.closeIdle(0);
            return callers.connections() == 0;
        });
    }

    private void pollUntil(long endNanos, BooleanSupplier condition) {
        while (endNanos - clock.nowNanos() > 0 && !condition.getAsBoolean()) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
        }
    }

    private void closeLog() {
        if (log instanceof AutoCloseable closeable) {
            try {
                closeable.close();
            } catch (Exception e) {
                System.err.println("node: log not closed: " + e);
            }
        }
    }
}
