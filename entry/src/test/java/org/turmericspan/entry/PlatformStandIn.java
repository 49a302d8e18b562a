package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.BodyMemory;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.NettyLogFactory;

/** An in-memory store on loopback with the published protocol of the platform. Tests write to it directly. */
final class PlatformStandIn implements AutoCloseable {
    private static final ListenerLimits LIMITS =
            new ListenerLimits(16_384, 1_048_576, TimeUnit.SECONDS.toNanos(30), TimeUnit.SECONDS.toNanos(30));
    private static final int DEFAULT_MAX_BODY_BYTES = 65_536;

    static {
        InternalLoggerFactory.setDefaultFactory(new NettyLogFactory(EventLog.none()));
    }

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final StoreStandIn store = new StoreStandIn();
    private final Map<String, ServerStandIn> servers = new ConcurrentHashMap<>();
    private final SocketAddress address = freeAddress();
    private final HttpListener listener = listen(address, store);
    private final AtomicLong sequence = new AtomicLong();

    PlatformStandIn() throws IOException {}

    static SocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return new SocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    HttpListener listen(SocketAddress listenAddress, HttpService service) {
        return new HttpListener(
                workers,
                listenAddress,
                service,
                () -> LIMITS,
                BodyMemory.ofHeap(),
                MonotonicClock.system(),
                EventLog.none());
    }

    SocketAddress address() {
        return address;
    }

    EventLoopGroup workers() {
        return workers;
    }

    StoreStandIn store() {
        return store;
    }

    void put(String key, String value) {
        store.put(key, value);
    }

    void remove(String key) {
        store.remove(key);
    }

    /** Sets the status with which every read is rejected; 0 serves reads again. */
    void rejectReads(int status) {
        store.rejectReads(status);
    }

    void configure(long version, String prefix, String type) {
        configure(version, List.of(route(prefix, type)));
    }

    static String route(String prefix, String type) {
        return "{\"Name\":\"r" + prefix + "\",\"Host\":\"h.example\",\"Prefix\":\"" + prefix
                + "\",\"Service\":\"desk\",\"Type\":\"" + type + "\",\"TimeoutS\":2,"
                + "\"TargetLatencyS\":0.5,\"MaxAttempts\":3,\"Priority\":0}";
    }

    /** Returns a route for which callers need no key although there are tenants. */
    static String publicRoute(String prefix, String type) {
        String route = route(prefix, type);
        return route.substring(0, route.length() - 1) + ",\"Public\":true}";
    }

    /** Returns a tenant with its keys. */
    static String tenant(String name, String... keys) {
        List<String> quoted = List.of(keys).stream().map(key -> '"' + key + '"').toList();
        return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + String.join(",", quoted) + "]}";
    }

    void configure(long version, List<String> routes) {
        configure(version, routes, DEFAULT_MAX_BODY_BYTES);
    }

    void configure(long version, List<String> routes, int maxBodyBytes) {
        configure(version, routes, maxBodyBytes, "[]");
    }

    /** Publishes a configuration with a list of tenants in the form of the document. */
    void configure(long version, List<String> routes, String tenants) {
        configure(version, routes, DEFAULT_MAX_BODY_BYTES, tenants);
    }

    private void configure(long version, List<String> routes, int maxBodyBytes, String tenants) {
        put(
                "op/config",
                "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],"
                        + "\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":100,"
                        + "\"WarmupS\":1,\"WarmupPerS\":5}],"
                        + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + maxBodyBytes
                        + ",\"HeaderTimeoutS\":5,"
                        + "\"IdleTimeoutS\":30},\"Tenants\":" + tenants + "}");
    }

    ServerStandIn addServer(String id, String zone) throws IOException {
        ServerStandIn server = new ServerStandIn(id, freeAddress(), this);
        servers.put(id, server);
        register(server, zone, "ready");
        return server;
    }

    void register(ServerStandIn server, String zone, String state) {
        register(server, server.address(), zone, state);
    }

    /** Registers a server under another address than its own, such as that of a link to it. */
    void register(ServerStandIn server, SocketAddress registeredAddress, String zone, String state) {
        register(server.id(), registeredAddress, zone, state);
    }

    void register(String id, SocketAddress registeredAddress, String zone, String state) {
        put(
                "servers/" + id,
                "{\"Service\":\"desk\",\"Address\":\"" + registeredAddress + "\",\"Zone\":\"" + zone
                        + "\",\"Version\":\"v1\",\"Capacity\":3,\"State\":\"" + state
                        + "\",\"WarmupLeftS\":0,\"Sequence\":" + sequence.incrementAndGet() + ",\"born\":1}");
    }

    @Override
    public void close() {
        listener.close();
        servers.values().forEach(ServerStandIn::close);
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
