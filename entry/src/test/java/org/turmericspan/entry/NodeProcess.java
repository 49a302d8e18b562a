package org.turmericspan.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;

/** An entry node that runs as a separate process. */
final class NodeProcess implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    /** Folder that receives the logs of closed nodes; empty if they are deleted. */
    private static final String KEPT_LOGS = System.getProperty("entry.logs", "");

    private static final HttpClient CLIENT;

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        CLIENT = HttpClient.newHttpClient();
    }

    private final String host;
    private final String zone;
    private final SocketAddress callerAddress;
    private final SocketAddress readinessAddress;
    private final SocketAddress directoryAddress;
    private final SocketAddress metricsAddress;
    private final Path settingsFile;
    private final Path logFile;
    private Process process;

    /**
     * Writes the settings file of a node without starting it.
     *
     * @param host loopback address of the node's VM
     * @param zone availability zone
     * @param gossipPort gossip port of all nodes of a test; the next four ports are for the other addresses
     * @param seeds hosts through which the node joins the fleet
     * @param store address of the store
     */
    NodeProcess(String host, String zone, int gossipPort, String seeds, SocketAddress store) throws IOException {
        this.host = host;
        this.zone = zone;
        this.callerAddress = new SocketAddress(host, gossipPort + 1);
        this.readinessAddress = new SocketAddress(host, gossipPort + 2);
        this.directoryAddress = new SocketAddress(host, gossipPort + 3);
        this.metricsAddress = new SocketAddress(host, gossipPort + 4);
        this.settingsFile = Files.createTempFile("entry", ".properties");
        this.logFile = Files.createTempFile("entry", ".log");
        List<String> lines = new ArrayList<>();
        lines.add("vm=" + host.replace('.', '-'));
        lines.add("availability-zone=" + zone);
        lines.add("caller-address=" + callerAddress);
        lines.add("readiness-address=" + readinessAddress);
        lines.add("directory-address=" + directoryAddress);
        lines.add("metrics-address=" + metricsAddress);
        lines.add("gossip-address=" + host + ":" + gossipPort);
        lines.add("seeds=" + seeds);
        lines.add("store-address=" + store);
        lines.addAll(List.of("cold-overage=1.5", "cold-slack=5", "retry-ratio=0.2", "retry-slack=60"));
        lines.addAll(List.of("retry-window-seconds=10", "grace-seconds=6"));
        lines.addAll(List.of("max-answer-life-seconds=5", "probes-per-second=60"));
        Files.write(settingsFile, lines);
    }

    /** Adds lines to the settings; they take effect at the next start. */
    NodeProcess withSettings(List<String> lines) throws IOException {
        Files.write(settingsFile, lines, StandardOpenOption.APPEND);
        return this;
    }

    NodeProcess start(String... flags) throws IOException {
        List<String> command =
                new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m", "-XX:+UseSerialGC"));
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        builder.environment().put("TURMERICSPAN_SETTINGS_FILE", settingsFile.toString());
        process = builder.start();
        return this;
    }

    String zone() {
        return zone;
    }

    SocketAddress callerAddress() {
        return callerAddress;
    }

    SocketAddress metricsAddress() {
        return metricsAddress;
    }

    long pid() {
        return process.pid();
    }

    boolean isReady() {
        return get("http://" + readinessAddress + "/api/readyz").status() == 200;
    }

    String resolve(String callerZone) {
        return get("http://" + directoryAddress + "/api/resolve?Name=h.example&Region=r&Zone=" + callerZone)
                .body();
    }

    String state() {
        return get("http://" + metricsAddress + "/state").body();
    }

    String metrics() {
        return get("http://" + metricsAddress + "/metrics").body();
    }

    /** Returns the value of a metric without labels, as text; empty if there is none of that name. */
    String metric(String name) {
        String start = "turmericspan_" + name + " ";
        return metrics()
                .lines()
                .filter(line -> line.startsWith(start))
                .map(line -> line.substring(start.length()))
                .findFirst()
                .orElse("");
    }

    /** Sends a request and waits for the response until a fixed timeout; a failure counts as status 0. */
    Response request(String method, String path, String id) {
        return request(method, path, id, TIMEOUT);
    }

    Response request(String method, String path, String id, Duration timeout) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + callerAddress + path))
                        .method(method, HttpRequest.BodyPublishers.ofString("GET".equals(method) ? "" : "body"))
                        .header("Host", "h.example")
                        .header("Turmericspan-Request-Id", id)
                        .header("Turmericspan-Deadline-Ms", "1500"),
                timeout);
    }

    /** Sends a request to read something with the key of a tenant. */
    Response requestWithKey(String path, String id, String key) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + callerAddress + path))
                        .GET()
                        .header("Host", "h.example")
                        .header("Authorization", "Token " + key)
                        .header("Turmericspan-Request-Id", id)
                        .header("Turmericspan-Deadline-Ms", "1500"),
                TIMEOUT);
    }

    private Response get(String uri) {
        return send(HttpRequest.newBuilder(URI.create(uri)), TIMEOUT);
    }

    private static Response send(HttpRequest.Builder request, Duration timeout) {
        try {
            HttpResponse<String> response =
                    CLIENT.send(request.timeout(timeout).build(), HttpResponse.BodyHandlers.ofString());
            return new Response(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("Turmericspan-Request-Id").orElse("-"));
        } catch (IOException e) {
            return new Response(0, e.toString(), "-");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Response(0, e.toString(), "-");
        }
    }

    /** A response, or with status 0 a failure, whose description is the body. */
    record Response(int status, String body, String requestId) {}

    /** Adds a line to the settings file. */
    NodeProcess with(String setting) throws IOException {
        List<String> lines = Files.readAllLines(settingsFile);
        lines.add(setting);
        Files.write(settingsFile, lines);
        return this;
    }

    void changeSeeds(String seeds) throws IOException {
        List<String> lines = Files.readAllLines(settingsFile);
        lines.replaceAll(line -> line.startsWith("seeds=") ? "seeds=" + seeds : line);
        Files.write(settingsFile, lines);
    }

    /** Sends a signal by its name, such as STOP. */
    void signal(String name) throws IOException, InterruptedException {
        signal(pid(), name);
    }

    /** Sends a signal to a process; has no effect if the process has already ended. */
    static void signal(long pid, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void terminate() {
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    boolean awaitExit() throws InterruptedException {
        return process.waitFor(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    boolean logContains(String text) {
        try {
            return Files.readString(logFile).contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            // The next test reuses the ports.
            process.destroyForcibly().onExit().join();
        }
        Files.deleteIfExists(settingsFile);
        if (KEPT_LOGS.isEmpty()) {
            Files.deleteIfExists(logFile);
        } else {
            Files.move(logFile, Path.of(KEPT_LOGS, host + "-" + logFile.getFileName()));
        }
    }

    @Override
    public String toString() {
        return host;
    }
}
