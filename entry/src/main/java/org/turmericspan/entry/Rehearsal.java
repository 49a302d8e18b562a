package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Properties;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.BodyMemory;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallOptions;
import org.turmericspan.http.HttpClient;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.platform.RehearsalPlatform;
import org.turmericspan.platform.RehearsalServer;
import org.turmericspan.transport.NettyLogFactory;

/**
 * Runs a small fleet of nodes against a simulated platform on loopback, so that the JDK can list the classes and
 * lambdas that a start and the first requests load. A start from an archive of them (class data sharing) takes about
 * half the CPU time; classes that the rehearsal does not load are missing from the archive and load more slowly.
 */
public final class Rehearsal {
    /** Number of requests, enough to load every class on the request path. */
    private static final int REQUESTS = 50;
    /** Maximum wait for outstanding requests after the last one was sent. */
    private static final long RESULT_TIMEOUT_SECONDS = 20;
    /** Pause between requests. */
    private static final long REQUEST_INTERVAL_MILLIS = 40;
    /** Time for the nodes to join each other and to read the store. */
    private static final long STARTUP_MILLIS = 1_500;

    private static final String LOOPBACK = "127.0.0.1";
    /** Host of the second node; all nodes share a gossip port, so each needs its own host. */
    private static final String SECOND_HOST = "127.0.0.2";

    private static final String THIRD_HOST = "127.0.0.3";
    private static final int OK = 200;

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MonotonicClock clock = MonotonicClock.system();

    private Rehearsal() {}

    /**
     * Runs the rehearsal and exits with code 0 if at least one request was served.
     *
     * @param arguments ignored
     * @throws Exception when the fleet cannot be started or the thread is interrupted
     */
    public static void main(String[] arguments) throws Exception {
        InternalLoggerFactory.setDefaultFactory(new NettyLogFactory(EventLog.none()));
        int served = new Rehearsal().run();
        System.out.println("rehearsal: " + served + " of " + REQUESTS + " requests served");
        Runtime.getRuntime().halt(served > 0 ? 0 : 1);
    }

    private int run() throws IOException, InterruptedException {
        SocketAddress platform = freeAddress();
        List<SocketAddress> servers = List.of(freeAddress(), freeAddress(), freeAddress());
        listen(platform, new RehearsalPlatform(servers));
        servers.forEach(address -> listen(address, new RehearsalServer(address)));
        SocketAddress callers = freeAddress();
        SocketAddress gossip = freeAddress();
        startNode(values(platform, callers, gossip, RehearsalPlatform.ZONE));
        startNode(
                values(platform, freeAddress(), new SocketAddress(SECOND_HOST, gossip.port()), RehearsalPlatform.ZONE));
        startNode(values(platform, freeAddress(), new SocketAddress(THIRD_HOST, gossip.port()), "elsewhere"));
        TimeUnit.MILLISECONDS.sleep(STARTUP_MILLIS);
        return sendRequests(callers);
    }

    private void listen(SocketAddress address, HttpService service) {
        ListenerLimits limits = new ListenerLimits(
                RequestLimits.DEFAULT.maxHeaderBytes(),
                RequestLimits.DEFAULT.maxBodyBytes(),
                RequestLimits.DEFAULT.headerTimeoutNanos(),
                RequestLimits.DEFAULT.idleTimeoutNanos());
        new HttpListener(workers, address, service, () -> limits, BodyMemory.ofHeap(), clock, EventLog.none());
    }

    /** Starts a node as its process would, but on a daemon thread. */
    private static void startNode(Properties values) throws IOException {
        StringWriter text = new StringWriter();
        values.store(text, null);
        Path file = Files.createTempFile("rehearsal", ".properties");
        Files.writeString(file, text.toString());
        Thread thread = new Thread(() -> runNode(file), "rehearsal-node");
        thread.setDaemon(true);
        thread.start();
    }

    private static void runNode(Path file) {
        try {
            EntryMain.run(new SettingsFile(file));
        } catch (IOException e) {
            System.err.println("rehearsal: node not started: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int sendRequests(SocketAddress callers) throws InterruptedException {
        HttpClient client = new HttpClient(workers, BodyMemory.ofHeap(), clock);
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
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MILLIS);
        }
        if (!ended.await(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            System.err.println("rehearsal: " + ended.getCount() + " requests without a result");
        }
        return served.get();
    }

    private static Properties values(SocketAddress platform, SocketAddress callers, SocketAddress gossip, String zone)
            throws IOException {
        Properties values = new Properties();
        values.setProperty("vm", "rehearsal");
        values.setProperty("availability-zone", zone);
        values.setProperty("caller-address", callers.toString());
        values.setProperty("readiness-address", freeAddress().toString());
        values.setProperty("directory-address", freeAddress().toString());
        values.setProperty("metrics-address", freeAddress().toString());
        values.setProperty("gossip-address", gossip.toString());
        values.setProperty("seeds", LOOPBACK + ":" + gossip.port());
        values.setProperty("store-address", platform.toString());
        for (String name : EntrySettings.NUMERIC_SETTINGS) {
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
