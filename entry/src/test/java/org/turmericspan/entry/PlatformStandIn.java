package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.BodyMemory;
import org.turmericspan.http.HttpListener;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.ListenerLimits;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.transport.NettyLogFactory;

/** An in-memory store on loopback with the published protocol of the platform. Tests write to it directly. */
final class PlatformStandIn implements AutoCloseable {
    private static final ListenerLimits LIMITS =
            new ListenerLimits(16_384, 1_048_576, TimeUnit.SECONDS.toNanos(30), TimeUnit.SECONDS.toNanos(30));
    private static final int POLL_MILLIS = 10;
    private static final int DEFAULT_MAX_BODY_BYTES = 65_536;

    static {
        InternalLoggerFactory.setDefaultFactory(new NettyLogFactory(EventLog.none()));
    }

    private final EventLoopGroup workers = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, ServerStandIn> servers = new ConcurrentHashMap<>();
    private final SocketAddress address = freeAddress();
    private final HttpListener listener = listen(address, this::handle);
    private long revision = 1;
    private volatile int rejectionStatus;

    private record Item(String value, long revision) {
        boolean isRemoved() {
            return value == null;
        }
    }

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

    synchronized void put(String key, String value) {
        items.put(key, new Item(value, ++revision));
    }

    synchronized void remove(String key) {
        items.put(key, new Item(null, ++revision));
    }

    /** Sets the status with which every read is rejected; 0 serves reads again. */
    void rejectReads(int status) {
        rejectionStatus = status;
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
                        + "\",\"WarmupLeftS\":0,\"Sequence\":" + revision + ",\"born\":1}");
    }

    private void handle(RequestMessage request, Reply reply) {
        if (rejectionStatus != 0) {
            reply.send(ResponseMessage.text(rejectionStatus, "application/json", "{}"));
        } else if (request.path().equals("/api/kv-range")) {
            reply.send(page("items", 0, false));
        } else {
            long after = Long.parseLong(parameter(request.target(), "after"));
            long waitMillis = Long.parseLong(parameter(request.target(), "WaitMs"));
            watch(reply, after, waitMillis);
        }
    }

    private void watch(Reply reply, long after, long remainingMillis) {
        if (remainingMillis <= 0 || hasChanged(after)) {
            reply.send(page("events", after, true));
        } else {
            reply.worker()
                    .schedule(
                            () -> watch(reply, after, remainingMillis - POLL_MILLIS),
                            POLL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private synchronized boolean hasChanged(long after) {
        return revision > after;
    }

    private synchronized ResponseMessage page(String kind, long after, boolean includeRemoved) {
        String rows = items.entrySet().stream()
                .filter(entry -> entry.getValue().revision() > after)
                .filter(entry -> includeRemoved || !entry.getValue().isRemoved())
                .map(entry -> row(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining(","));
        return ResponseMessage.text(
                200,
                "application/json",
                "{\"" + kind + "\":[" + rows + "],\"StoreRevision\":" + revision + ",\"Truncated\":false}");
    }

    private static String row(String key, Item item) {
        String start = "{\"Key\":\"" + key + "\",\"Revision\":" + item.revision();
        if (item.isRemoved()) {
            return start + ",\"Deleted\":true}";
        }
        byte[] value = item.value().getBytes(StandardCharsets.UTF_8);
        return start + ",\"Value\":\"" + Base64.getEncoder().encodeToString(value) + "\"}";
    }

    private static String parameter(String target, String name) {
        String rest = target.substring(target.indexOf(name + "=") + name.length() + 1);
        int end = rest.indexOf('&');
        return end < 0 ? rest : rest.substring(0, end);
    }

    @Override
    public void close() {
        listener.close();
        servers.values().forEach(ServerStandIn::close);
        workers.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
