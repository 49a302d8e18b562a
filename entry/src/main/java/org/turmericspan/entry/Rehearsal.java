package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallOptions;
import org.turmericspan.http.HttpClient;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.platform.RehearsalPlatform;

/**
 * Runs a node against a platform of its own on loopback, so that the JDK can archive the classes it loads. A start with
 * the archive takes about half the processor time.
 */
public final class Rehearsal {
    /** Requests sent; enough for every class on the path to be loaded. */
    private static final int REQUESTS = 50;
    /** Longest time of the rehearsal. */
    private static final long LIMIT_SECONDS = 20;
    /** Pause between requests. */
    private static final long PAUSE_MILLIS = 40;

    private static final String LOOPBACK = "127.0.0.1";
    private static final int OK = 200;

    private Rehearsal() {}

    /**
     * Rehearses and ends the process.
     *
     * @param arguments none
     * @throws Exception when the rehearsal does not come to its end
     */
    public static void main(String[] arguments) throws Exception {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        MonotonicClock clock = MonotonicClock.system();
        SocketAddress platform = freeAddress();
        ListenerLimits limits = new ListenerLimits(
                RequestLimits.DEFAULT.maxHeaderBytes(),
                RequestLimits.DEFAULT.maxBodyBytes(),
                RequestLimits.DEFAULT.headerTimeoutNanos(),
                RequestLimits.DEFAULT.idleTimeoutNanos());
        new HttpListener(
                workers, platform, new RehearsalPlatform(platform.toString()), () -> limits, clock, EventLog.none());
        SocketAddress callers = freeAddress();
        EntrySettings settings = EntrySettings.of(values(platform, callers));
        NodeLauncher.launch(settings, new SettingsFile(Path.of("none")));
        Class.forName("org.turmericspan.entry.EntryMain");
        int served = sendRequests(workers, clock, callers);
        System.out.println("rehearsal: " + served + " of " + REQUESTS + " requests served");
        System.exit(served > 0 ? 0 : 1);
    }

    private static int sendRequests(EventLoopGroup workers, MonotonicClock clock, SocketAddress callers)
            throws InterruptedException {
        HttpClient client = new HttpClient(workers, clock);
        CountDownLatch ended = new CountDownLatch(REQUESTS);
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < REQUESTS; i++) {
            RequestMessage request = new RequestMessage(
                    "GET", RehearsalPlatform.PATH, RehearsalPlatform.requestHeaders("r" + i), new byte[0]);
            client.call(callers, request, CallOptions.onNewConnection(TimeUnit.SECONDS.toMillis(1)), end -> {
                if (end instanceof CallEnd.Answered answered
                        && answered.response().status() == OK) {
                    served.incrementAndGet();
                }
                ended.countDown();
            });
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        if (!ended.await(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            System.err.println("rehearsal: " + ended.getCount() + " requests without an end");
        }
        return served.get();
    }

    private static Properties values(SocketAddress platform, SocketAddress callers) throws IOException {
        Properties values = new Properties();
        values.setProperty("vm", "rehearsal");
        values.setProperty("availability-zone", "rehearsal");
        values.setProperty("caller-address", callers.toString());
        values.setProperty("readiness-address", freeAddress().toString());
        values.setProperty("directory-address", freeAddress().toString());
        values.setProperty("metrics-address", freeAddress().toString());
        values.setProperty("gossip-address", freeAddress().toString());
        values.setProperty("store-address", platform.toString());
        for (String name : new String[] {
            "cold-overage",
            "cold-slack",
            "retry-ratio",
            "retry-slack",
            "retry-window-seconds",
            "grace-seconds",
            "max-answer-life-seconds",
            "probes-per-second"
        }) {
            values.setProperty(name, "10");
        }
        return values;
    }

    private static SocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return new SocketAddress(LOOPBACK, socket.getLocalPort());
        }
    }
}
