package org.turmericspan.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** A running fleet: processes for the platform, all upstreams, the fault proxy if it is planned, and each node. */
public final class Fleet implements AutoCloseable {
    /** Deployment key of the nodes in every test fleet. */
    public static final String DEPLOYMENT_KEY = "loopback-test-deployment-key";

    private static final String STANDINS_MAIN = "org.turmericspan.standins.Main";
    private static final String NODE_MAIN = "org.turmericspan.node.Main";
    private static final String LOOPBACK_PREFIX = "127.0.0.1:";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    /** Ports of the platform, the control port of the upstreams and the control port of the proxy. */
    private static final int SHARED_PORTS = 3;
    /** Ports of a node for callers, operators and peers, and of its links to peers and the platform. */
    private static final int PORTS_PER_NODE = 5;

    private final FleetPlan plan;
    private final Http http = new Http();
    private final FleetConfiguration configuration = new FleetConfiguration();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final List<FleetUpstream> upstreams = new ArrayList<>();
    private final List<ChildProcess> processes = new ArrayList<>();
    private final Set<String> leavingVms = new HashSet<>();
    private final Iterator<Integer> ports;
    private final int platformPort;
    private final int upstreamControlPort;
    private final int proxyControlPort;
    private final List<String> links = new ArrayList<>();

    private Fleet(FleetPlan plan) {
        this.plan = plan;
        int upstreamCount = plan.services().stream()
                .mapToInt(FleetPlan.ServicePlan::upstreams)
                .sum();
        this.ports = Ports.free(SHARED_PORTS + 2 * upstreamCount + PORTS_PER_NODE * plan.nodes())
                .iterator();
        this.platformPort = ports.next();
        this.upstreamControlPort = ports.next();
        this.proxyControlPort = ports.next();
    }

    /**
     * Starts a fleet and waits until every node is ready.
     *
     * @param plan processes and services of the fleet
     * @return the running fleet
     */
    public static Fleet start(FleetPlan plan) {
        Fleet fleet = new Fleet(plan);
        try {
            fleet.startAll();
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Returns the nodes.
     *
     * @return in the order of their names
     */
    public List<FleetNode> nodes() {
        return List.copyOf(nodes);
    }

    /**
     * Returns the upstreams.
     *
     * @return in the order of their names
     */
    public List<FleetUpstream> upstreams() {
        return List.copyOf(upstreams);
    }

    /**
     * Returns the client for control and operator ports.
     *
     * @return client that is closed with the fleet
     */
    public Http http() {
        return http;
    }

    /**
     * Returns the configuration objects, which take effect after {@link #publish()}.
     *
     * @return mutable configuration of the fleet
     */
    public FleetConfiguration published() {
        return configuration;
    }

    /** Publishes the next version of the configuration. */
    public void publish() {
        http.put(platformUrl() + "/control/values/configuration", configuration.nextDocument());
    }

    /**
     * Takes an availability zone out of service or back in, and publishes the configuration.
     *
     * @param zone name of the availability zone
     * @param inService whether the zone receives new requests
     */
    public void setZone(String zone, boolean inService) {
        putZone(zone, inService);
        publish();
    }

    /**
     * Marks a VM as leaving or live in the platform's list of VMs, and publishes the list.
     *
     * @param vm name of the VM
     * @param leaving whether it is about to stop
     */
    public void setLeaving(String vm, boolean leaving) {
        if (leaving) {
            leavingVms.add(vm);
        } else {
            leavingVms.remove(vm);
        }
        publishVms();
    }

    /** Publishes the list of VMs. */
    public void publishVms() {
        List<String> entries = new ArrayList<>();
        nodes.forEach(node -> entries.add(entryVmJson(node)));
        upstreams.forEach(upstream -> entries.add(upstreamVmJson(upstream)));
        http.put(platformUrl() + "/control/values/vms", "{\"vms\": [" + String.join(",\n", entries) + "]}");
    }

    /**
     * Waits until the last published configuration is active at every node.
     *
     * @param limit maximum time to wait
     */
    public void awaitInForce(Duration limit) {
        for (FleetNode node : nodes) {
            Await.until(
                    node.name() + " has version " + configuration.version(),
                    limit,
                    () -> versionAt(node) >= configuration.version());
        }
    }

    /**
     * Waits until a node reports that it is ready. The exception on a timeout contains the status of its process
     * and the last lines of its log.
     *
     * @param node the node
     * @param limit maximum time to wait
     */
    public void awaitReady(FleetNode node, Duration limit) {
        try {
            Await.until(
                    node.name() + " is ready",
                    limit,
                    () -> http.get(node.operatorUrl() + "/v1/health").equals("ready"));
        } catch (IllegalStateException e) {
            throw new IllegalStateException(
                    e.getMessage() + "; " + node.process().diagnosis(), e);
        }
    }

    /**
     * Reads the version of the active configuration of a node.
     *
     * @param node the node
     * @return the version number
     */
    public long versionAt(FleetNode node) {
        return http.getJson(node.operatorUrl() + "/v1/state")
                .at("/configuration/version")
                .asLong();
    }

    /**
     * Reads the statistics of the upstreams.
     *
     * @return statistics by port
     */
    public JsonNode witness() {
        return http.getJson(upstreamControlUrl() + "/control/witness");
    }

    /**
     * Sums one field of the statistics of all upstreams.
     *
     * @param field JSON name of the field
     * @return the sum over all upstreams
     */
    public long witnessSum(String field) {
        long sum = 0;
        for (JsonNode statistics : witness()) {
            sum += statistics.path(field).asLong();
        }
        return sum;
    }

    /** Makes every upstream warm, for tests that are not about cold starts. */
    public void warmUpstreams() {
        http.post(upstreamControlUrl() + "/control/warm");
    }

    /**
     * Reads how many read requests the platform has received, including watches that are still waiting.
     *
     * @return number of requests since its start
     */
    public long platformReads() {
        return Long.parseLong(http.get(platformUrl() + "/control/reads"));
    }

    /**
     * Returns the base URL of the platform.
     *
     * @return URL without a trailing slash
     */
    public String platformUrl() {
        return "http://" + LOOPBACK_PREFIX + platformPort;
    }

    /**
     * Returns the base URL of the upstreams' control port.
     *
     * @return URL without a trailing slash
     */
    public String upstreamControlUrl() {
        return "http://" + LOOPBACK_PREFIX + upstreamControlPort;
    }

    /**
     * Returns the base URL of the fault proxy's control port.
     *
     * @return URL without a trailing slash
     */
    public String proxyControlUrl() {
        return "http://" + LOOPBACK_PREFIX + proxyControlPort;
    }

    @Override
    public void close() {
        processes.forEach(ChildProcess::close);
        http.close();
    }

    private void startAll() {
        launch("platform", STANDINS_MAIN, List.of("platform", "--port", Integer.toString(platformPort)));
        addConfigurationObjects();
        launchUpstreams();
        for (int i = 0; i < plan.nodes(); i++) {
            addNode(i);
        }
        if (plan.isProxied()) {
            launch(
                    "proxy",
                    STANDINS_MAIN,
                    List.of(
                            "proxy",
                            "--links",
                            String.join(",", links),
                            "--control-port",
                            Integer.toString(proxyControlPort)));
        }
        Await.until(
                "platform responds",
                START_TIMEOUT,
                () -> !http.get(platformUrl() + "/control/reads").isEmpty());
        publish();
        publishVms();
        nodes.forEach(node -> node.process().start());
        Await.until("upstreams respond", START_TIMEOUT, () -> witness() != null);
        nodes.forEach(node -> awaitReady(node, START_TIMEOUT));
    }

    private void addConfigurationObjects() {
        plan.zones().forEach(zone -> putZone(zone, true));
        for (FleetPlan.ServicePlan service : plan.services()) {
            configuration.put("Service", service.name(), service.fields());
            configuration.put(
                    "Rule",
                    service.name() + "-orders",
                    List.of(
                            "\"service\": \"" + service.name() + "\"",
                            "\"method\": \"POST\"",
                            "\"path_prefix\": \"/orders\""));
            for (int i = 0; i < service.upstreams(); i++) {
                addUpstream(service.name(), i);
            }
        }
    }

    private void putZone(String zone, boolean inService) {
        configuration.put(
                "AvailabilityZone",
                zone,
                List.of("\"region\": \"region-one\"", "\"state\": \"" + (inService ? "in" : "out") + "\""));
    }

    private void addUpstream(String service, int index) {
        String zone = plan.zones().get(index % plan.zones().size());
        int port = ports.next();
        int linkPort = addLink(port);
        String name = String.format("%s-%03d", service, index);
        upstreams.add(new FleetUpstream(name, service, zone, port, linkPort));
        configuration.put(
                "Upstream",
                name,
                List.of(
                        "\"service\": \"" + service + "\"",
                        "\"availability_zone\": \"" + zone + "\"",
                        "\"address\": \"" + LOOPBACK_PREFIX + linkPort + "\""));
    }

    private void addNode(int index) {
        String name = String.format("entry-%02d", index);
        String zone = plan.zones().get(index % plan.zones().size());
        int callerPort = ports.next();
        int operatorPort = ports.next();
        int peerPort = ports.next();
        int peerLinkPort = addLink(peerPort);
        int platformLinkPort = addLink(platformPort);
        List<String> flags = new ArrayList<>(List.of(
                "--vm", name,
                "--availability-zone", zone,
                "--caller-address", LOOPBACK_PREFIX + callerPort,
                "--operator-address", LOOPBACK_PREFIX + operatorPort,
                "--peer-address", LOOPBACK_PREFIX + peerPort,
                "--platform-address", LOOPBACK_PREFIX + platformLinkPort,
                "--deployment-key", DEPLOYMENT_KEY));
        flags.addAll(plan.nodeFlags());
        ChildProcess process = ChildProcess.create(name, NODE_MAIN, flags);
        processes.add(process);
        nodes.add(
                new FleetNode(name, zone, callerPort, operatorPort, peerPort, peerLinkPort, platformLinkPort, process));
    }

    private int addLink(int targetPort) {
        if (!plan.isProxied()) {
            return targetPort;
        }
        int linkPort = ports.next();
        links.add(linkPort + "=" + LOOPBACK_PREFIX + targetPort);
        return linkPort;
    }

    private void launchUpstreams() {
        String portList = upstreams.stream()
                .map(upstream -> Integer.toString(upstream.port()))
                .collect(Collectors.joining(","));
        launch(
                "upstreams",
                STANDINS_MAIN,
                List.of("upstream", "--ports", portList, "--control-port", Integer.toString(upstreamControlPort)));
    }

    private void launch(String name, String mainClass, List<String> arguments) {
        ChildProcess process = ChildProcess.create(name, mainClass, arguments);
        processes.add(process);
        process.start();
    }

    private String entryVmJson(FleetNode node) {
        return "{\"name\": \"" + node.name() + "\", \"availability_zone\": \"" + node.zone() + "\", \"role\": \"entry\""
                + stateField(node.name()) + ", \"caller_address\": \"" + LOOPBACK_PREFIX + node.callerPort()
                + "\", \"peer_address\": \"" + LOOPBACK_PREFIX + node.peerLinkPort() + "\"}";
    }

    private String upstreamVmJson(FleetUpstream upstream) {
        return "{\"name\": \"" + upstream.name() + "\", \"availability_zone\": \"" + upstream.zone()
                + "\", \"role\": \"upstream\"" + stateField(upstream.name()) + "}";
    }

    private String stateField(String vm) {
        return ", \"state\": \"" + (leavingVms.contains(vm) ? "leaving" : "live") + "\"";
    }
}
