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
import org.turmericspan.entry.NodeProcess.Answer;

/** Callers that send requests to any node without pause, on kept connections, and keep what they were told. */
final class SoakCallers {
    private static final int CALLERS = 8;
    private static final long PAUSE_MILLIS = 15;
    /** Longest wait for an answer, beyond the deadline that the requests state. */
    private static final Duration PATIENCE = Duration.ofSeconds(4);

    private final SoakFleet fleet;
    private final long seed;
    private final Queue<Told> told = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * What a caller was told.
     *
     * @param request identifier of its request
     * @param idempotent whether the request may run more than once
     * @param answer the answer
     */
    record Told(String request, boolean idempotent, Answer answer) {}

    SoakCallers(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.seed = seed;
    }

    void start() {
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            Thread thread = new Thread(() -> call(caller), "soak-caller-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void call(int caller) {
        SplittableRandom random = new SplittableRandom(seed * CALLERS + caller);
        try {
            for (int i = 0; !stopped; i++) {
                boolean idempotent = random.nextBoolean();
                String request = "q-" + caller + "-" + i;
                NodeProcess node =
                        fleet.nodes().get(random.nextInt(fleet.nodes().size()));
                told.add(new Told(
                        request,
                        idempotent,
                        idempotent
                                ? node.request("GET", "/safe/" + request, request, PATIENCE)
                                : node.request("POST", "/once/" + request, request, PATIENCE)));
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops after the requests under way. */
    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    List<Told> told() {
        return List.copyOf(told);
    }

    /** Counts the answers by status; 0 stands for none. */
    Map<Integer, Integer> statuses() {
        Map<Integer, Integer> counts = new HashMap<>();
        told.forEach(each -> counts.merge(each.answer().status(), 1, Integer::sum));
        return counts;
    }
}
