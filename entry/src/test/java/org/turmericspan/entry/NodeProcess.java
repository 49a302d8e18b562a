package org.turmericspan.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;

/** An entry node as a process of its own. */
final class NodeProcess implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final HttpClient CLIENT;

    static {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        CLIENT = HttpClient.newHttpClient();
    }

    private final String host;
    private final String zone;
    private final SocketAddress callers;
    private final SocketAddress readiness;
    private final SocketAddress directory;
    private final SocketAddress metrics;
    private final Path settings;
    private final Path output;
    private Process process;

    /**
     * Writes the settings of a node.
     *
     * @param host loopback address of the node's VM
     * @param zone availability zone
     * @param gossipPort port that all nodes of the test share
     * @param seeds hosts to join through
     * @param store address of the store
     */
    NodeProcess(String host, String zone, int gossipPort, String seeds, SocketAddress store) throws IOException {
        this.host = host;
        this.zone = zone;
        this.callers = new SocketAddress(host, gossipPort + 1);
        this.readiness = new SocketAddress(host, gossipPort + 2);
        this.directory = new SocketAddress(host, gossipPort + 3);
        this.metrics = new SocketAddress(host, gossipPort + 4);
        this.settings = Files.createTempFile("entry", ".properties");
        this.output = Files.createTempFile("entry", ".log");
        List<String> lines = new ArrayList<>();
        lines.add("vm=" + host.replace('.', '-'));
        lines.add("availability-zone=" + zone);
        lines.add("caller-address=" + callers);
        lines.add("readiness-address=" + readiness);
        lines.add("directory-address=" + directory);
        lines.add("metrics-address=" + metrics);
        lines.add("gossip-address=" + host + ":" + gossipPort);
        lines.add("seeds=" + seeds);
        lines.add("store-address=" + store);
        lines.addAll(List.of("cold-overage=1.5", "cold-slack=5", "retry-ratio=0.2", "retry-slack=60"));
        lines.addAll(List.of("retry-window-seconds=10", "grace-seconds=6"));
        lines.addAll(List.of("max-answer-life-seconds=5", "probes-per-second=60"));
        Files.write(settings, lines);
    }

    NodeProcess start(String... flags) throws IOException {
        List<String> command =
                new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java", "-Xmx96m", "-XX:+UseSerialGC"));
        command.addAll(List.of(flags));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), EntryMain.class.getName()));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        builder.environment().put("TURMERICSPAN_SETTINGS_FILE", settings.toString());
        process = builder.start();
        return this;
    }

    String zone() {
        return zone;
    }

    SocketAddress callers() {
        return callers;
    }

    SocketAddress metrics() {
        return metrics;
    }

    long pid() {
        return process.pid();
    }

    boolean isReady() {
        return get("http://" + readiness + "/api/readyz").status() == 200;
    }

    String resolve(String callerZone) {
        return get("http://" + directory + "/api/resolve?Name=h.example&Region=r&Zone=" + callerZone)
                .body();
    }

    String state() {
        return get("http://" + metrics + "/state").body();
    }

    /** Sends a request that ends within the test's patience, whatever the node does. */
    Answer request(String method, String path, String id) {
        return request(method, path, id, PATIENCE);
    }

    Answer request(String method, String path, String id, Duration patience) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + callers + path))
                        .method(method, HttpRequest.BodyPublishers.ofString("GET".equals(method) ? "" : "body"))
                        .header("Host", "h.example")
                        .header("Turmericspan-Request-Id", id)
                        .header("Turmericspan-Deadline-Ms", "1500"),
                patience);
    }

    private Answer get(String uri) {
        return send(HttpRequest.newBuilder(URI.create(uri)), PATIENCE);
    }

    private static Answer send(HttpRequest.Builder request, Duration patience) {
        try {
            HttpResponse<String> response =
                    CLIENT.send(request.timeout(patience).build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    response.statusCode(),
                    response.body(),
                    response.headers().firstValue("Turmericspan-Request-Id").orElse("-"));
        } catch (IOException e) {
            return new Answer(0, e.toString(), "-");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, e.toString(), "-");
        }
    }

    record Answer(int status, String body, String requestId) {}

    void changeSeeds(String seeds) throws IOException {
        List<String> lines = Files.readAllLines(settings);
        lines.replaceAll(line -> line.startsWith("seeds=") ? "seeds=" + seeds : line);
        Files.write(settings, lines);
    }

    /** Sends a signal by its name, such as STOP. */
    void signal(String name) throws IOException, InterruptedException {
        signal(pid(), name);
    }

    /** Sends a signal to a life of a node that may be over; then nothing happens. */
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
        return process.waitFor(PATIENCE.toSeconds(), TimeUnit.SECONDS);
    }

    boolean logContains(String text) {
        try {
            return Files.readString(output).contains(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            // The next test takes the same ports.
            process.destroyForcibly().onExit().join();
        }
        Files.deleteIfExists(settings);
        Files.deleteIfExists(output);
    }

    @Override
    public String toString() {
        return host;
    }
}
