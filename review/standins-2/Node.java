import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One machine with the process of the deploy file; its settings are those of a small deployment. */
final class Node implements AutoCloseable {
    static final int FRONT = 0;
    static final int READY = 1;
    static final int DIRECTORY = 2;
    static final int CONTROL = 3;
    static final int RANGE = 4;
    /** Ports that a machine uses, from a first one on; the same on all machines. */
    static final int PORTS = 6;

    final String name;
    final String zone;
    final String host;
    private final int firstPort;
    private final String seeds;
    private final String storeAddress;
    private final String zones;
    private final Path folder;
    private Process process;

    Node(
            String name,
            String zone,
            String host,
            int firstPort,
            String seeds,
            String storeAddress,
            String zones,
            Path folder) {
        this.name = name;
        this.zone = zone;
        this.host = host;
        this.firstPort = firstPort;
        this.seeds = seeds;
        this.storeAddress = storeAddress;
        this.zones = zones;
        this.folder = folder;
    }

    int port(int which) {
        return firstPort + which;
    }

    /** Starts the process with the command of the deploy file; returns before it is ready. */
    void start() throws IOException {
        Map<String, String> values = Map.ofEntries(
                Map.entry("Node", name),
                Map.entry("Zone", zone),
                Map.entry("Ip", host),
                Map.entry("Listen.Front", host + ":" + port(FRONT)),
                Map.entry("Listen.Ready", host + ":" + port(READY)),
                Map.entry("Listen.Directory", host + ":" + port(DIRECTORY)),
                Map.entry("PortRange.0", "" + port(RANGE)),
                Map.entry("PortRange.1", "" + (port(RANGE) + 1)),
                Map.entry("Seeds", seeds),
                Map.entry("Provider.Address", storeAddress),
                Map.entry("Bounds.WarmupOverage", "1.5"),
                Map.entry("Bounds.WarmupSlack", "5"),
                Map.entry("Bounds.RetryRatio", "0.2"),
                Map.entry("Bounds.RetrySlack", "60"),
                Map.entry("Bounds.RetryWindowS", "10"),
                Map.entry("Bounds.GraceS", "6"),
                Map.entry("Bounds.ttl_max_s", "5"),
                Map.entry("Bounds.ProbesPerS", "60"),
                Map.entry("Bounds.ConfigApplyS", "2"));
        Path settings = folder.resolve(name + ".properties");
        Files.writeString(settings, fill(Files.readString(Path.of("deploy/entry.properties")), values));
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        ProcessBuilder builder = new ProcessBuilder(List.of(first(deploy, "run = \"([^\"]*)\"").split(" ")));
        Map<String, String> environment = builder.environment();
        environment.keySet().removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
        environment.put("TURMERICSPAN_SETTINGS_FILE", settings.toString());
        environment.put("TURMERICSPAN_CHANGE_LIMIT_SECONDS", values.get("Bounds.ConfigApplyS"));
        environment.put("TURMERICSPAN_CAP_ADDRESS", host + ":" + values.get("PortRange.1"));
        environment.put("TURMERICSPAN_ZONES", zones);
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        process = builder.start();
    }

    private static String first(String text, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("not in the deploy file: " + pattern);
        }
        return matcher.group(1);
    }

    private static String fill(String template, Map<String, String> values) {
        return Pattern.compile("\\{\\{([^}]*)}}")
                .matcher(template)
                .replaceAll(match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    boolean isReady() {
        try (Wire wire = Wire.connect(host, port(READY), 500)) {
            wire.timeout(500);
            Wire.Message answer = wire.call("GET", "/api/readyz", Wire.headers("Host", host), "");
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(long maxMillis) {
        long untilNanos = System.nanoTime() + maxMillis * 1_000_000;
        while (!isReady()) {
            if (System.nanoTime() > untilNanos) {
                throw new IllegalStateException(name + " is not ready");
            }
            Server.sleep(50);
        }
    }

    /** Loses power, or is killed. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor();
    }

    /** Sends SIGTERM, and SIGKILL after the grace period. */
    void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(6, TimeUnit.SECONDS)) {
            kill();
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        if (process != null) {
            kill();
        }
    }
}
