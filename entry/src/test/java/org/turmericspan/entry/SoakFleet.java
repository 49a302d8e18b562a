package org.turmericspan.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.standins.network.Link;

/** Node processes that reach their servers and the store through links, which can inject faults. */
final class SoakFleet implements AutoCloseable {
    /** Tenant whose key every configuration holds, and that key. */
    static final String STEADY_TENANT = "steady";

    static final String STEADY_KEY = "secret-of-steady";
    /** Tenant whose key is taken away at times, and that key. */
    static final String CHANGING_TENANT = "changing";

    static final String CHANGING_KEY = "secret-of-changing";

    private static final List<String> ZONES = List.of("zone-a", "zone-b");
    private static final int NODES = Integer.getInteger("soak.nodes", 4);
    private static final int SERVERS = 6;

    private final PlatformStandIn platform = new PlatformStandIn();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<RegisteredServer> servers = new ArrayList<>();
    private final StorePort storePort = new StorePort(platform);
    private final Link storeLink;
    private int serverCount;
    private long version;
    private boolean isKeyTaken;

    /**
     * A server that is registered under the address of its link.
     *
     * @param server the server
     * @param link link to the server
     * @param linkAddress address of the link, at which nodes connect
     * @param zone availability zone of the server
     */
    record RegisteredServer(ServerStandIn server, Link link, SocketAddress linkAddress, String zone) {}

    SoakFleet(int gossipPort) throws IOException, InterruptedException {
        SocketAddress storeLinkAddress = PlatformStandIn.freeAddress();
        storeLink = new Link(storeLinkAddress.port(), storePort.address(), platform.workers());
        storeLink.start();
        platform.store().announceEra();
        publishConfiguration();
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        for (int i = 1; i <= NODES; i++) {
            String zone = ZONES.get(i % ZONES.size());
            nodes.add(new NodeProcess("127.0.8." + i, zone, gossipPort, "127.0.8.1:1,127.0.8.2:1", storeLinkAddress)
                    .start());
        }
    }

    /** Takes the key of a tenant away, or gives it back, with a new version of the configuration. */
    void takeKey(boolean isTaken) {
        isKeyTaken = isTaken;
        publishConfiguration();
    }

    /**
     * Publishes a new version of the configuration with the same routes and one that only this version has. The version
     * increases in uneven steps.
     */
    synchronized void publishConfiguration() {
        version += 1 + version % 3;
        platform.configure(
                version,
                List.of(
                        PlatformStandIn.publicRoute("/safe/", "safe"),
                        PlatformStandIn.publicRoute("/once/", "unsafe"),
                        PlatformStandIn.route("/keyed/", "safe"),
                        PlatformStandIn.publicRoute(newestPrefix(), "safe")),
                "[" + PlatformStandIn.tenant(STEADY_TENANT, STEADY_KEY) + ","
                        + (isKeyTaken
                                ? PlatformStandIn.tenant(CHANGING_TENANT)
                                : PlatformStandIn.tenant(CHANGING_TENANT, CHANGING_KEY))
                        + "]");
    }

    /** Returns the prefix of the route that only the newest version has. */
    synchronized String newestPrefix() {
        return "/version-" + version + "/";
    }

    RegisteredServer addServer() throws IOException, InterruptedException {
        String zone = ZONES.get(serverCount % ZONES.size());
        ServerStandIn server = new ServerStandIn("i-" + ++serverCount, PlatformStandIn.freeAddress(), platform);
        SocketAddress linkAddress = PlatformStandIn.freeAddress();
        Link link = new Link(linkAddress.port(), server.address(), platform.workers());
        link.start();
        RegisteredServer registered = new RegisteredServer(server, link, linkAddress, zone);
        platform.register(server, linkAddress, zone, "ready");
        servers.add(registered);
        return registered;
    }

    void drain(RegisteredServer registered) {
        platform.register(registered.server(), registered.linkAddress(), registered.zone(), "draining");
    }

    void evacuate(String zone, boolean evacuated) {
        if (evacuated) {
            platform.put("op/evacuate/" + zone, "{}");
        } else {
            platform.remove("op/evacuate/" + zone);
        }
    }

    PlatformStandIn platform() {
        return platform;
    }

    StorePort storePort() {
        return storePort;
    }

    Link storeLink() {
        return storeLink;
    }

    List<NodeProcess> nodes() {
        return nodes;
    }

    /** Returns all servers, also drained ones, since each knows which requests it ran. */
    List<RegisteredServer> servers() {
        return List.copyOf(servers);
    }

    int runsOf(String requestId) {
        return servers().stream()
                .mapToInt(registered -> registered.server().runs().getOrDefault(requestId, 0))
                .sum();
    }

    @Override
    public void close() throws IOException {
        for (NodeProcess node : nodes) {
            node.close();
        }
        servers.forEach(registered -> registered.link().close());
        servers.forEach(registered -> registered.server().close());
        storeLink.close();
        storePort.close();
        platform.close();
    }
}
