package org.turmericspan.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.entry.NodeProcess.Response;
import org.turmericspan.entry.PersistentCaller.AheadRequest;
import org.turmericspan.entry.PersistentCaller.Exchange;

/** Callers that send requests to random nodes over persistent connections and record the responses. */
final class SoakCallers {
    private static final int CALLERS = 8;
    private static final long PAUSE_MILLIS = 15;
    /** One in so many times a caller that keeps its connection sends several requests at once. */
    private static final int AHEAD_ODDS = 4;
    /** Maximum number of requests sent at once. */
    private static final int MAX_AHEAD = 5;
    /** One in so many requests that are sent ahead may not be repeated. */
    private static final int ORDER_ODDS = 5;

    private static final int OK = 200;
    /** Maximum pause within a body. */
    private static final int MAX_BODY_PAUSE_MILLIS = 400;
    /** Maximum wait for a response, longer than the deadline of the requests. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    private final SoakFleet fleet;
    private final long seed;
    private final Queue<NodeExchange> exchanges = new ConcurrentLinkedQueue<>();
    private final Queue<Integer> steadyKeyStatuses = new ConcurrentLinkedQueue<>();
    private final Queue<CompletedCall> completedCalls = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicInteger servedAhead = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * A request with its response.
     *
     * @param request identifier of the request
     * @param idempotent whether the request may run more than once
     * @param answer the response
     */
    record CompletedCall(String request, boolean idempotent, Response answer) {}

    /**
     * A request on a kept connection.
     *
     * @param node node that received it
     * @param idempotent whether the request may run more than once
     * @param exchange the request and its end
     */
    record NodeExchange(NodeProcess node, boolean idempotent, Exchange exchange) {}

    SoakCallers(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Thread thread = new Thread(() -> sendRequests(caller), "soak-caller-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (NodeProcess node : fleet.nodes()) {
            Thread thread = new Thread(() -> sendOnKeptConnection(node), "soak-kept-" + node);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
        for (String key : List.of(SoakFleet.STEADY_KEY, SoakFleet.CHANGING_KEY)) {
            Thread thread = new Thread(() -> sendWithKey(key), "soak-" + key);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    /** Sends requests with a key to each node in turn. */
    private void sendWithKey(String key) {
        List<PersistentCaller> callers = fleet.nodes().stream()
                .map(node -> new PersistentCaller(node.callerAddress(), "Authorization: Token " + key + "\r\n"))
                .toList();
        try {
            for (int i = 0; !stopped; i++) {
                Exchange exchange = callers.get(i % callers.size()).get("/keyed/" + key, "key-" + i);
                if (key.equals(SoakFleet.STEADY_KEY)) {
                    steadyKeyStatuses.add(exchange.status());
                }
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            callers.forEach(PersistentCaller::close);
        }
    }

    /**
     * Sends requests to one node, also while it stops. Half of them have a body that is sent slowly in chunks. Now and
     * then it sends some requests ahead.
     */
    private void sendOnKeptConnection(NodeProcess node) {
        SplittableRandom random =
                new SplittableRandom(seed * CALLERS + node.toString().hashCode());
        try (PersistentCaller caller = new PersistentCaller(node.callerAddress())) {
            for (int i = 0; !stopped; i++) {
                String request = "k-" + node + "-" + i;
                if (random.nextInt(AHEAD_ODDS) == 0) {
                    sendAhead(node, caller, request, random);
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                    continue;
                }
                boolean idempotent = random.nextBoolean();
                Exchange exchange = idempotent
                        ? caller.get("/safe/" + request, request)
                        : caller.postChunks(
                                "/once/" + request,
                                request,
                                random.nextInt(MAX_BODY_PAUSE_MILLIS),
                                random.nextInt(MAX_BODY_PAUSE_MILLIS));
                exchanges.add(new NodeExchange(node, idempotent, exchange));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAhead(NodeProcess node, PersistentCaller caller, String name, SplittableRandom random) {
        List<AheadRequest> requests = new ArrayList<>();
        int count = 2 + random.nextInt(MAX_AHEAD - 1);
        for (int i = 0; i < count; i++) {
            requests.add(new AheadRequest(name + "-" + i, random.nextInt(ORDER_ODDS) > 0));
        }
        List<Exchange> ends = caller.sendAhead(requests);
        for (int i = 0; i < count; i++) {
            exchanges.add(new NodeExchange(node, requests.get(i).idempotent(), ends.get(i)));
            if (i > 0 && ends.get(i).status() == OK) {
                servedAhead.incrementAndGet();
            }
        }
    }

    private void sendRequests(int caller) {
        SplittableRandom random = new SplittableRandom(seed * CALLERS + caller);
        try {
            for (int i = 0; !stopped; i++) {
                boolean idempotent = random.nextBoolean();
                String request = "q-" + caller + "-" + i;
                NodeProcess node =
                        fleet.nodes().get(random.nextInt(fleet.nodes().size()));
                completedCalls.add(new CompletedCall(
                        request,
                        idempotent,
                        idempotent
                                ? node.request("GET", "/safe/" + request, request, RESPONSE_TIMEOUT)
                                : node.request("POST", "/once/" + request, request, RESPONSE_TIMEOUT)));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops after the requests in flight. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Returns the number of requests that were sent behind an unanswered one and were served. */
    int servedAhead() {
        return servedAhead.get();
    }

    List<NodeExchange> exchanges() {
        return List.copyOf(exchanges);
    }

    /** Returns the statuses of requests with the key that every configuration holds. */
    List<Integer> steadyKeyStatuses() {
        return List.copyOf(steadyKeyStatuses);
    }

    List<CompletedCall> calls() {
        return List.copyOf(completedCalls);
    }

    /** Returns the number of responses by status; 0 counts requests without a response. */
    Map<Integer, Integer> statuses() {
        Map<Integer, Integer> counts = new HashMap<>();
        completedCalls.forEach(call -> counts.merge(call.answer().status(), 1, Integer::sum));
        return counts;
    }
}
