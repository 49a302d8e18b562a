package org.turmericspan.standins.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Models one upstream. It runs one request per slot, queues a limited number and sheds the rest. While cold, it crashes
 * when more requests are in flight than its cold limit.
 */
final class UpstreamModel {
    private final UpstreamSettings settings;
    private final ScheduledExecutorService timer;
    private final Runnable onCrash;
    private final Queue<Job> queue = new ArrayDeque<>();
    private final Map<String, Integer> runsByOrderId = new HashMap<>();
    private long incarnation = randomIncarnation();
    private int running;
    private int finishedSinceStart;
    private boolean leaving;
    private double slowFactor = 1;
    private long slowUntilNanos;
    private long started;
    private long finished;
    private int maxInFlight;
    private long coldOverruns;
    private long probes;
    private long shed;
    private long crashes;
    private long lastStartedMillis;

    UpstreamModel(UpstreamSettings settings, ScheduledExecutorService timer, Runnable onCrash) {
        this.settings = settings;
        this.timer = timer;
        this.onCrash = onCrash;
    }

    /** Runs or queues a request, or returns false when it is shed. Exceeding the cold limit crashes the upstream. */
    boolean submit(Job job) {
        boolean isOverrun;
        synchronized (this) {
            if (leaving || running + queue.size() >= settings.slots() + settings.queueLimit()) {
                shed++;
                return false;
            }
            queue.add(job);
            maxInFlight = Math.max(maxInFlight, inFlight());
            isOverrun = isCold() && inFlight() > settings.coldRequestLimit();
            if (isOverrun) {
                coldOverruns++;
            }
        }
        if (isOverrun) {
            crash();
            return true;
        }
        startNext();
        return true;
    }

    void crash() {
        synchronized (this) {
            crashes++;
            becomeCold();
            queue.clear();
            running = 0;
        }
        onCrash.run();
    }

    synchronized void becomeCold() {
        finishedSinceStart = 0;
        incarnation = randomIncarnation();
    }

    synchronized void becomeWarm() {
        finishedSinceStart = settings.warmAfterRequests();
    }

    synchronized void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    synchronized void slowDown(double factor, Duration duration) {
        slowFactor = factor;
        slowUntilNanos = System.nanoTime() + duration.toNanos();
    }

    synchronized void countProbe() {
        probes++;
    }

    synchronized Report report() {
        return new Report(inFlight(), isCold(), leaving, Long.toHexString(incarnation));
    }

    synchronized UpstreamStatistics statistics() {
        return new UpstreamStatistics(
                started, finished, maxInFlight, coldOverruns, probes, shed, crashes, lastStartedMillis, isCold());
    }

    synchronized Map<String, Integer> runsByOrderId() {
        return Map.copyOf(runsByOrderId);
    }

    private void startNext() {
        Job job;
        long incarnationAtStart;
        synchronized (this) {
            if (queue.isEmpty() || running >= settings.slots()) {
                return;
            }
            job = queue.remove();
            running++;
            started++;
            lastStartedMillis = System.currentTimeMillis();
            if (!job.orderId().isEmpty()) {
                runsByOrderId.merge(job.orderId(), 1, Integer::sum);
            }
            incarnationAtStart = incarnation;
        }
        timer.schedule(() -> finish(job, incarnationAtStart), serviceTimeNanos(job), TimeUnit.NANOSECONDS);
    }

    private void finish(Job job, long incarnationAtStart) {
        synchronized (this) {
            if (incarnation != incarnationAtStart) {
                return;
            }
            running--;
            finished++;
            finishedSinceStart++;
        }
        job.onFinished().run();
        startNext();
    }

    private synchronized long serviceTimeNanos(Job job) {
        double factor = System.nanoTime() < slowUntilNanos ? slowFactor : 1;
        return (long) (job.serviceTime().toNanos() * factor);
    }

    private int inFlight() {
        return running + queue.size();
    }

    private boolean isCold() {
        return finishedSinceStart < settings.warmAfterRequests();
    }

    private static long randomIncarnation() {
        return ThreadLocalRandom.current().nextLong();
    }

    /**
     * A request to run.
     *
     * @param orderId id of the order whose runs are counted, or empty
     * @param serviceTime time that it occupies a slot at normal speed
     * @param onFinished sends the response
     */
    record Job(String orderId, Duration serviceTime, Runnable onFinished) {}

    /**
     * State that the upstream reports with each response.
     *
     * @param inFlight number of requests that are running or queued, sent as {@code Turmericspan-Running}
     * @param cold whether the upstream is cold
     * @param leaving whether the upstream is about to stop
     * @param incarnation id that changes with each crash or cold start, in hexadecimal
     */
    record Report(int inFlight, boolean cold, boolean leaving, String incarnation) {}
}
