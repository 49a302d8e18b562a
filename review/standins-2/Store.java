import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: range and watch reads over HTTP, linearizable, with the whole history. */
final class Store implements AutoCloseable {
    private record Change(String key, byte[] value, long revision) {}

    private final Map<String, Change> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final ServerSocket socket;
    private long revision = 100;
    private boolean closed;

    Store(String host, int port) throws IOException {
        socket = new ServerSocket(port, 256, InetAddress.getByName(host));
        Wire.acceptAll(socket, this::serve);
    }

    synchronized void put(String key, String value) {
        write(key, value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            write(key, null);
        }
    }

    private void write(String key, byte[] value) {
        Change change = new Change(key, value, ++revision);
        if (value == null) {
            items.remove(key);
        } else {
            items.put(key, change);
        }
        history.add(change);
        notifyAll();
    }

    private void serve(Wire wire) throws IOException {
        for (Wire.Message request = wire.read(); request != null; request = wire.read()) {
            String target = request.target();
            String body;
            if (target.startsWith("/api/kv-range")) {
                body = range(Wire.parameter(target, "Prefix"), Wire.parameter(target, "after"));
            } else if (target.startsWith("/api/kv-watch")) {
                body = watch(
                        Wire.parameter(target, "Prefix"),
                        Long.parseLong(Wire.parameter(target, "after")),
                        Long.parseLong(Wire.parameter(target, "WaitMs")));
            } else {
                body = null;
            }
            wire.respond(body == null ? 404 : 200, body == null ? "{}" : body, "Content-Type: application/json");
        }
    }

    private synchronized String range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Change item : items.values()) {
            if (item.key.startsWith(prefix) && item.key.compareTo(after) > 0) {
                found.add(json(item));
            }
        }
        return "{\"items\":[" + String.join(",", found) + "],\"Truncated\":false,\"StoreRevision\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) {
        long untilNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<String> found = new ArrayList<>();
            for (Change change : history) {
                if (change.revision > after && change.key.startsWith(prefix)) {
                    found.add(json(change));
                }
            }
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0 || closed) {
                return "{\"events\":[" + String.join(",", found) + "],\"StoreRevision\":" + revision + "}";
            }
            try {
                wait(leftMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String json(Change change) {
        return change.value == null
                ? "{\"Key\":\"" + change.key + "\",\"Revision\":" + change.revision + ",\"Deleted\":true}"
                : "{\"Key\":\"" + change.key + "\",\"Value\":\""
                        + Base64.getEncoder().encodeToString(change.value)
                        + "\",\"Revision\":" + change.revision + ",\"Created\":" + change.revision + ",\"Lease\":0}";
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        notifyAll();
        socket.close();
    }
}
