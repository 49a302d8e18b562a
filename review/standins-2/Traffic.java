import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Requesters of one node: each keeps a connection and sends requests at a steady rate. */
final class Traffic implements AutoCloseable {
    /** Receives how a request ended. */
    interface Listener {
        void ended(String requestId, double sentAt, int status);
    }

    private final Case owner;
    private final Map<String, Double> sentAt = new ConcurrentHashMap<>();
    private volatile boolean ended;

    Traffic(Case owner) {
        this.owner = owner;
    }

    /** Starts requesters that together send a number of requests a second to a node; {id} in the path differs. */
    void start(Node node, int requesters, double perSecond, String method, String path, String body, Listener listener) {
        for (int i = 0; i < requesters; i++) {
            double offset = i / perSecond;
            Wire.thread(() -> send(node, requesters / perSecond, offset, method, path, body, listener));
        }
    }

    private void send(
            Node node, double interval, double offset, String method, String path, String body, Listener listener) {
        double next = owner.now() + offset;
        Wire wire = null;
        while (!ended) {
            Server.sleep(Math.max(0, (long) ((next - owner.now()) * 1_000)));
            next = Math.max(next + interval, owner.now() - interval);
            String id = owner.nextRequestId();
            int status = 0;
            double sent = owner.now();
            try {
                if (wire == null) {
                    wire = Wire.connect(node.host, node.port(Node.FRONT), 1_000);
                    wire.timeout(1_200);
                }
                sent = owner.now();
                sentAt.put(id, sent);
                Wire.Message answer = wire.call(
                        method,
                        path.replace("{id}", id),
                        Wire.headers(
                                "Host",
                                "shop.example",
                                "Turmericspan-Request-Id",
                                id,
                                "Turmericspan-Deadline-Ms",
                                "1000"),
                        body);
                status = answer == null ? 0 : answer.status();
                if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                    wire.close();
                    wire = null;
                }
            } catch (IOException e) {
                if (wire != null) {
                    wire.reset();
                }
                wire = null;
                Server.sleep(50);
            }
            listener.ended(id, sent, status);
        }
    }

    /** Returns when a request was sent; 0 for one that no requester sent. */
    double sentAt(String requestId) {
        return sentAt.getOrDefault(requestId, 0.0);
    }

    @Override
    public void close() {
        ended = true;
    }
}
