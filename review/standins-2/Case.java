import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** What each case needs: a folder, the record, the exit code, and the processes to end. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<AutoCloseable> started = new ArrayList<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final long startNanos = System.nanoTime();
    private BufferedWriter record;
    Path folder;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the case in the folder of its script and exits with its code. */
    static void run(Case played, String recordFile) throws IOException {
        played.folder = Files.createTempDirectory("turmericspan-review");
        played.record = Files.newBufferedWriter(Path.of(recordFile));
        Thread stopping = new Thread(played::end);
        Runtime.getRuntime().addShutdownHook(stopping);
        int code = NOT_RUN;
        try {
            code = played.play() ? HELD : BROKEN;
        } catch (Exception e) {
            played.note("not run: " + e);
            e.printStackTrace();
        }
        System.out.println(code == HELD ? "rule held" : code == BROKEN ? "rule broken" : "not run");
        System.exit(code);
    }

    <T extends AutoCloseable> T started(T resource) {
        started.add(resource);
        return resource;
    }

    private void end() {
        for (AutoCloseable resource : started) {
            try {
                resource.close();
            } catch (Exception e) {
                System.err.println("not ended: " + e);
            }
        }
        try {
            synchronized (this) {
                record.close();
                record = null;
            }
            if (System.getenv("KEEP_LOGS") == null) {
                try (var files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
                }
            } else {
                System.out.println(folder);
            }
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes a line to the record. */
    synchronized void note(String line) {
        try {
            if (record != null) {
                record.write(String.format(Locale.ROOT, "%8.3f %s%n", now(), line));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes a line to the record and to standard output. */
    void say(String line) {
        note(line);
        System.out.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
    }

    String nextRequestId() {
        return String.format(Locale.ROOT, "%016x", 0x9c41d07b00000000L + requests.incrementAndGet());
    }

    static String configuration(int version, List<String> routes, List<String> services) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
                + String.join(",", services) + "],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                + "\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}";
    }

    static String route(String name, String prefix, String type, String service, int attempts) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"shop.example\",\"Prefix\":\"" + prefix + "\",\"Type\":\"" + type
                + "\",\"TimeoutS\":1,\"TargetLatencyS\":0.3,\"Priority\":1,\"Service\":\"" + service
                + "\",\"MaxAttempts\":" + attempts + "}";
    }

    static String service(String name) {
        return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/healthz\",\"MaxConns\":240,\"Protocol\":\"h1\","
                + "\"Tls\":false,\"WarmupS\":3.0,\"WarmupPerS\":7.3}";
    }
}
