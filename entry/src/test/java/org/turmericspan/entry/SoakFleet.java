package org.turmericspan.entry;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.standins.network.Link;

/** Nodes as processes, and servers and a store that they reach through links with faults. */
final class SoakFleet implements AutoCloseable {
    private static final List<String> ZONES = List.of("zone-a", "zone-b");
    private static final int NODES = 4;
    private static final int SERVERS = 6;

    private final PlatformStandIn platform = new PlatformStandIn();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<Member> servers = new ArrayList<>();
    private final Link storeLink;
    private int lastServer;
    private long version;

    /**
     * A server behind its link.
     *
     * @param server the server
     * @param link the link, at whose port it is registered
     * @param at where nodes reach it
     * @param zone its availability zone
     */
    record Member(ServerStandIn server, Link link, SocketAddress at, String zone) {}

    SoakFleet(int port) throws IOException, InterruptedException {
        SocketAddress storeAt = PlatformStandIn.freeAddress();
        storeLink = new Link(storeAt.port(), platform.address(), platform.workers());
        storeLink.start();
        publish();
        for (int i = 0; i < SERVERS; i++) {
            addServer();
        }
        for (int i = 1; i <= NODES; i++) {
            String zone = ZONES.get(i % ZONES.size());
            nodes.add(new NodeProcess("127.0.8." + i, zone, port, "127.0.8.1:1,127.0.8.2:1", storeAt).start());
        }
    }

    /** Publishes a newer configuration with the same routes; versions grow in uneven steps. */
    void publish() {
        version += 1 + version % 3;
        platform.configure(
                version, List.of(PlatformStandIn.route("/safe/", "safe"), PlatformStandIn.route("/once/", "unsafe")));
    }

    Member addServer() throws IOException, InterruptedException {
        String zone = ZONES.get(lastServer % ZONES.size());
        ServerStandIn server = new ServerStandIn("i-" + ++lastServer, PlatformStandIn.freeAddress(), platform);
        SocketAddress at = PlatformStandIn.freeAddress();
        Link link = new Link(at.port(), server.address(), platform.workers());
        link.start();
        Member member = new Member(server, link, at, zone);
        platform.register(server, at, zone, "ready");
        servers.add(member);
        return member;
    }

    void drain(Member member) {
        platform.register(member.server(), member.at(), member.zone(), "draining");
    }

    void evacuate(String zone, boolean out) {
        if (out) {
            platform.put("op/evacuate/" + zone, "{}");
        } else {
            platform.remove("op/evacuate/" + zone);
        }
    }

    PlatformStandIn platform() {
        return platform;
    }

    Link storeLink() {
        return storeLink;
    }

    List<NodeProcess> nodes() {
        return nodes;
    }

    /** Returns every server that ever was, since each stays a witness. */
    List<Member> servers() {
        return List.copyOf(servers);
    }

    int runsOf(String request) {
        return servers().stream()
                .mapToInt(member -> member.server().runs().getOrDefault(request, 0))
                .sum();
    }

    @Override
    public void close() throws IOException {
        for (NodeProcess node : nodes) {
            node.close();
        }
        servers.forEach(member -> member.link().close());
        servers.forEach(member -> member.server().close());
        storeLink.close();
        platform.close();
    }
}
