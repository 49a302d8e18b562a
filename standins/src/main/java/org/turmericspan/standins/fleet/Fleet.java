package org.turmericspan.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** A running fleet of processes: the platform, the upstreams in one process, the fault proxy and the nodes. */
public final class Fleet implements AutoCloseable {
    /** Key shared by the nodes of every test fleet. */
    public static final String DEPLOYMENT_KEY = "loopback-test-deployment-key";

    private static final String STANDINS_MAIN = "org.turmericspan.standins.Main";
    private static final String NODE_MAIN = "org.turmericspan.node.Main";
    private static final String LOCAL = "127.0.0.1:";
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int COMMON_PORTS = 3;
    private static final int PORTS_PER_NODE = 5;

    private final FleetPlan plan;
    private final Http http = new Http();
    private final PublishedSet published = new PublishedSet();
    private final List<FleetNode> nodes = new ArrayList<>();
    private final List<FleetUpstream> upstreams = new ArrayList<>();
    private final List<ChildProcess> children = new ArrayList<>();
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
        this.ports = Ports.free(COMMON_PORTS + 2 * upstreamCount + PORTS_PER_NODE * plan.nodes())
                .iterator();
        this.platformPort = ports.next();
        this.upstreamControlPort = ports.next();
        this.proxyControlPort = ports.next();
    }

    /**
     * Starts a fleet and waits until every node serves.
     *
     * @param plan what it is made of
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
     * @return a client that lives as long as the fleet
     */
    public Http http() {
        return http;
    }

    /**
     * Returns the set of published objects, to be changed and published again.
     *
     * @return the set
     */
    public PublishedSet published() {
        return published;
    }

    /** Publishes the next version of the configuration. */
    public void publish() {
        http.put(platformUrl() + "/control/values/configuration", published.nextDocument());
    }

    /**
     * Takes an availability zone out or back in, and publishes.
     *
     * @param zone name of the availability zone
     * @param inService whether it takes new work
     */
    public void setZone(String zone, boolean inService) {
        putZone(zone, inService);
        publish();
    }

    /**
     * Marks a VM as leaving or live in the platform's list.
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
        nodes.forEach(node -> entries.add(entryVm(node)));
        upstreams.forEach(upstream -> entries.add(upstreamVm(upstream)));
        http.put(platformUrl() + "/control/values/vms", "{\"vms\": [" + String.join(",\n", entries) + "]}");
    }

    /**
     * Waits until every node has the last published configuration in force.
     *
     * @param limit how long to wait
     */
    public void awaitInForce(Duration limit) {
        for (FleetNode node : nodes) {
            Await.until(
                    node.name() + " has version " + published.version(),
                    limit,
                    () -> versionAt(node) >= published.version());
        }
    }

    /**
     * Waits until a node says that it is ready; a failure tells what became of its process and its last log lines.
     *
     * @param node the node
     * @param limit how long to wait
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
     * Reads the number of the configuration in force at a node.
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
     * Reads what the upstreams saw.
     *
     * @return witness by port
     */
    public JsonNode witness() {
        return http.getJson(upstreamControlUrl() + "/control/witness");
    }

    /**
     * Sums one field of the witnesses.
     *
     * @param field name of the field
     * @return the sum over all upstreams
     */
    public long witnessSum(String field) {
        long sum = 0;
        for (JsonNode one : witness()) {
            sum += one.path(field).asLong();
        }
        return sum;
    }

    /** Makes every upstream warm, for tests that are not about cold starts. */
    public void warmUpstreams() {
        http.post(upstreamControlUrl() + "/control/warm");
    }

    /**
     * Counts the reads that the platform saw, waiting watches among them.
     *
     * @return reads since its start
     */
    public long platformReads() {
        return Long.parseLong(http.get(platformUrl() + "/control/reads"));
    }

    /**
     * Returns the base URL of the platform.
     *
     * @return URL without a slash at the end
     */
    public String platformUrl() {
        return "http://" + LOCAL + platformPort;
    }

    /**
     * Returns the base URL of the upstreams' control port.
     *
     * @return URL without a slash at the end
     */
    public String upstreamControlUrl() {
        return "http://" + LOCAL + upstreamControlPort;
    }

    /**
     * Returns the base URL of the fault proxy's control port.
     *
     * @return URL without a slash at the end
     */
    public String proxyControlUrl() {
        return "http://" + LOCAL + proxyControlPort;
    }

    @Override
    public void close() {
        children.forEach(ChildProcess::close);
        http.close();
    }

    private void startAll() {
        launch("platform", STANDINS_MAIN, List.of("platform", "--port", Integer.toString(platformPort)));
        planObjects();
        launchUpstreams();
        for (int i = 0; i < plan.nodes(); i++) {
            planNode(i);
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
                "platform answers",
                START_LIMIT,
                () -> !http.get(platformUrl() + "/control/reads").isEmpty());
        publish();
        publishVms();
        nodes.forEach(node -> node.process().start());
        Await.until("upstreams answer", START_LIMIT, () -> witness() != null);
        nodes.forEach(node -> awaitReady(node, START_LIMIT));
    }

    private void planObjects() {
        plan.zones().forEach(zone -> putZone(zone, true));
        for (FleetPlan.ServicePlan service : plan.services()) {
            published.put("Service", service.name(), service.fields());
            published.put(
                    "Rule",
                    service.name() + "-orders",
                    List.of(
                            "\"service\": \"" + service.name() + "\"",
                            "\"method\": \"POST\"",
                            "\"path_prefix\": \"/orders\""));
            for (int i = 0; i < service.upstreams(); i++) {
                planUpstream(service.name(), i);
            }
        }
    }

    private void putZone(String zone, boolean inService) {
        published.put(
                "AvailabilityZone",
                zone,
                List.of("\"region\": \"region-one\"", "\"state\": \"" + (inService ? "in" : "out") + "\""));
    }

    private void planUpstream(String service, int index) {
        String zone = plan.zones().get(index % plan.zones().size());
        int port = ports.next();
        int linkPort = link(port);
        String name = String.format("%s-%03d", service, index);
        upstreams.add(new FleetUpstream(name, service, zone, port, linkPort));
        published.put(
                "Upstream",
                name,
                List.of(
                        "\"service\": \"" + service + "\"",
                        "\"availability_zone\": \"" + zone + "\"",
                        "\"address\": \"" + LOCAL + linkPort + "\""));
    }

    private void planNode(int index) {
        String name = String.format("entry-%02d", index);
        String zone = plan.zones().get(index % plan.zones().size());
        int callerPort = ports.next();
        int operatorPort = ports.next();
        int peerPort = ports.next();
        int peerLinkPort = link(peerPort);
        int platformLinkPort = link(platformPort);
        List<String> flags = new ArrayList<>(List.of(
                "--vm", name,
                "--availability-zone", zone,
                "--caller-address", LOCAL + callerPort,
                "--operator-address", LOCAL + operatorPort,
                "--peer-address", LOCAL + peerPort,
                "--platform-address", LOCAL + platformLinkPort,
                "--deployment-key", DEPLOYMENT_KEY));
        flags.addAll(plan.nodeFlags());
        ChildProcess process = ChildProcess.planned(name, NODE_MAIN, flags);
        children.add(process);
        nodes.add(
                new FleetNode(name, zone, callerPort, operatorPort, peerPort, peerLinkPort, platformLinkPort, process));
    }

    private int link(int targetPort) {
        if (!plan.isProxied()) {
            return targetPort;
        }
        int linkPort = ports.next();
        links.add(linkPort + "=" + LOCAL + targetPort);
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
        ChildProcess child = ChildProcess.planned(name, mainClass, arguments);
        children.add(child);
        child.start();
    }

    private String entryVm(FleetNode node) {
        return "{\"name\": \"" + node.name() + "\", \"availability_zone\": \"" + node.zone() + "\", \"role\": \"entry\""
                + state(node.name()) + ", \"caller_address\": \"" + LOCAL + node.callerPort()
                + "\", \"peer_address\": \"" + LOCAL + node.peerLinkPort() + "\"}";
    }

    private String upstreamVm(FleetUpstream upstream) {
        return "{\"name\": \"" + upstream.name() + "\", \"availability_zone\": \"" + upstream.zone()
                + "\", \"role\": \"upstream\"" + state(upstream.name()) + "}";
    }

    private String state(String vm) {
        return ", \"state\": \"" + (leavingVms.contains(vm) ? "leaving" : "live") + "\"";
    }
}
