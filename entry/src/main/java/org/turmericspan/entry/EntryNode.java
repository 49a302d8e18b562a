package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreFeed;
import org.turmericspan.forwarding.ForwardingDependencies;
import org.turmericspan.forwarding.ForwardingService;
import org.turmericspan.forwarding.UpstreamProber;
import org.turmericspan.gossip.Gossip;
import org.turmericspan.gossip.GossipTransport;
import org.turmericspan.gossip.Member;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.http.HttpClient;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.platform.DirectoryService;
import org.turmericspan.platform.FeedRelay;

/** An entry node: starts its parts, says when it is ready, and stops without cutting requests off. */
@Singleton
final class EntryNode implements AutoCloseable {
    /** Pause between looks at whether the node is ready. */
    private static final long CHECK_MILLIS = 20;
    /** Pause between looks at whether the node still reads the store itself. */
    private static final long READING_MILLIS = 100;
    /** Pause between looks at whether the settings file has changed without a signal. */
    private static final long SETTINGS_MILLIS = 2_000;
    /** Time after which a node serves although few upstreams answered its probes. */
    private static final long OBSERVE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Time after the first contact with another node in which news of the fleet arrives. */
    private static final long JOIN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Time after which a node that hears of no other begins alone. */
    private static final long ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Addresses named to a caller, if so many nodes are ready, before nodes of its own zone suffice. */
    private static final int LEAST_NAMED = 2;
    /** Most addresses a caller takes. */
    private static final int MOST_NAMED = 64;
    /** Time kept of the grace period for the end of the process itself. */
    private static final long EXIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    /** Time for which a stopping node keeps connections that callers may be about to use. */
    private static final long KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final int OK = 200;
    private static final String PART = "node";

    private final EntrySettings settings;
    private final SeedList seeds;
    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final MemberTable members;
    private final Gossip gossip;
    private final StoreFeed feed;
    private final UpstreamProber prober;
    private final HttpClient client;
    private final ForwardingDependencies forwarding;
    private final EntryMetrics metrics;
    private final EventLoopGroup workers;
    private final MonotonicClock clock;
    private final EventLog log;
    private SettingsFile settingsFile;
    private HttpListener callers;
    private ScheduledFuture<?> readinessCheck;
    private long startedNanos;
    private long joinedNanos;
    private long probingNanos;
    private volatile boolean able;
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
            UpstreamProber prober,
            HttpClient client,
            ForwardingDependencies forwarding,
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
        this.prober = prober;
        this.client = client;
        this.forwarding = forwarding;
        this.metrics = metrics;
        this.workers = workers;
        this.clock = clock;
        this.log = log;
    }

    /** Starts listening at once and becomes ready when the fleet is known. */
    void start(SettingsFile file) {
        settingsFile = file;
        startedNanos = clock.nowNanos();
        DirectoryService directory = new DirectoryService(this::locate, this::isReady, settings.answerLifeSeconds());
        listen(settings.directoryAddress(), directory);
        listen(settings.readinessAddress(), directory);
        listenForOperators();
        listen(settings.gossipAddress(), new FeedRelay(feed));
        watchFigures();
        callers = listen(settings.callerAddress(), new ForwardingService(forwarding));
        feed.start();
        gossip.start(new GossipTransport(workers, settings.gossipAddress(), gossip::receive, clock, log));
        readinessCheck =
                workers.scheduleWithFixedDelay(this::checkReadiness, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        log.write(Event.notice(PART, "Started.").with("callers", settings.callerAddress()));
    }

    /** Serves the metrics and the state dump if it can; callers are served without them too. */
    private void listenForOperators() {
        try {
            listen(settings.metricsAddress(), operators());
        } catch (Exception e) {
            log.write(Event.failure(PART, "Metrics not served.")
                    .with("address", settings.metricsAddress())
                    .with("cause", e));
        }
    }

    private void watchFigures() {
        metrics.watch("store_calls", feed::calls);
        metrics.watch("probes", prober::probesSent);
        metrics.watch("connections_opened", client::opened);
        metrics.watch("members_alive", () -> members.aliveMembers().size());
        metrics.watch("members_known", members::fleetSize);
        metrics.watch("upstreams_known", upstreams::size);
        metrics.watch("requests_under_way", () -> callers.requests());
        metrics.watch(
                "configuration_version",
                () -> configuration.current().map(RoutingConfiguration::version).orElse(0L));
        metrics.watch(
                "memory_used_bytes",
                () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }

    private HttpListener listen(SocketAddress address, HttpService service) {
        return new HttpListener(workers, address, service, this::limits, clock, log);
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

    private HttpService operators() {
        return (request, reply) -> reply.send(
                request.path().endsWith("/state")
                        ? ResponseMessage.text(OK, "text/plain", state())
                        : ResponseMessage.text(OK, "text/plain", metrics.text()));
    }

    private String state() {
        List<String> lines = new ArrayList<>();
        lines.add("version "
                + configuration.current().map(RoutingConfiguration::version).orElse(0L));
        members.aliveMembers().forEach(member -> lines.add("member " + member));
        upstreams.describe().forEach(line -> lines.add("upstream " + line));
        return String.join("\n", lines) + "\n";
    }

    /** Takes the node through its start: it probes when it knows the fleet, serves when probes answer, then joins. */
    private void checkReadiness() {
        long now = clock.nowNanos();
        if (joinedNanos == 0 && members.aliveMembers().size() > 1) {
            joinedNanos = now;
        }
        if (probingNanos == 0 && feed.isComplete() && configuration.current().isPresent()) {
            probingNanos = now;
            prober.start(settings.probeIntervalMillis());
        }
        if (!able && probingNanos != 0 && (upstreams.hasRecentObservations() || now - probingNanos > OBSERVE_NANOS)) {
            able = true;
            members.updateSelf(true, leaving, feed.hasStoreContact());
            gossip.broadcast();
            logStep("Ready.", now);
        }
        boolean heard = joinedNanos != 0 && now - joinedNanos > JOIN_NANOS || now - startedNanos > ALONE_NANOS;
        if (able && heard) {
            members.enableOwnership();
            prober.probeOwnedOnly();
            readinessCheck.cancel(false);
            workers.scheduleWithFixedDelay(this::publishReading, READING_MILLIS, READING_MILLIS, TimeUnit.MILLISECONDS);
            workers.scheduleWithFixedDelay(
                    this::reloadIfChanged, SETTINGS_MILLIS, SETTINGS_MILLIS, TimeUnit.MILLISECONDS);
            logStep("Joined.", now);
        }
    }

    private void logStep(String message, long now) {
        log.write(Event.notice(PART, message)
                .with("members", members.aliveMembers().size())
                .with("afterMs", TimeUnit.NANOSECONDS.toMillis(now - startedNanos)));
    }

    /** Tells other nodes whether they can read from this one. */
    private void publishReading() {
        if (!leaving && members.self().reading() != feed.hasStoreContact()) {
            members.updateSelf(true, false, feed.hasStoreContact());
        }
    }

    private boolean isReady() {
        return able && !leaving;
    }

    /** Names ready nodes of the caller's zone, and of others when it has too few. */
    private List<SocketAddress> locate(String zone) {
        List<Member> ready = members.aliveMembers().stream()
                .filter(member -> member.ready() && !member.leaving())
                .toList();
        List<Member> named = new ArrayList<>(ready.stream()
                .filter(member -> member.availabilityZone().value().equals(zone))
                .toList());
        for (Member member : ready) {
            if (named.size() < LEAST_NAMED && !named.contains(member)) {
                named.add(member);
            }
        }
        return named.stream().limit(MOST_NAMED).map(Member::callerAddress).toList();
    }

    /** Reads the settings file anew and takes its seeds. Addresses and agreed bounds hold for the process's life. */
    void reload() {
        try {
            EntrySettings newer = settingsFile.read();
            seeds.replace(newer);
            log.write(Event.notice(PART, "Settings read.")
                    .with("changed", !newer.equals(settings))
                    .with("seeds", newer.seedHosts()));
        } catch (IOException | InvalidEntrySettingsException e) {
            log.write(Event.failure(PART, "Settings not readable, the old ones stay.")
                    .with("reason", e.getMessage()));
        }
    }

    private void reloadIfChanged() {
        try {
            if (settingsFile.hasChanged()) {
                reload();
            }
        } catch (IOException e) {
            log.write(Event.notice(PART, "Settings file not readable.").with("reason", e.getMessage()));
        }
    }

    @Override
    public void close() {
        long deadlineNanos = clock.nowNanos() + settings.graceNanos() - EXIT_NANOS;
        long keepUntilNanos = clock.nowNanos() + KEEP_NANOS;
        leaving = true;
        members.updateSelf(able, true, false);
        gossip.broadcast();
        callers.drain();
        log.write(Event.notice(PART, "Stopping.").with("requests", callers.requests()));
        while (deadlineNanos - clock.nowNanos() > 0
                && (callers.connections() > 0 || keepUntilNanos - clock.nowNanos() > 0)) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(CHECK_MILLIS));
            if (keepUntilNanos - clock.nowNanos() <= 0) {
                callers.closeIdle();
            }
        }
        log.write(Event.notice(PART, "Stopped.").with("requests", callers.requests()));
        closeLog();
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
