package org.turmericspan.standins.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One upstream: it runs as many requests as it has slots, queues a few, sheds the rest, and falls over when cold. */
final class UpstreamModel {
    private final UpstreamSettings settings;
    private final ScheduledExecutorService timer;
    private final Runnable fallOver;
    private final Queue<Job> queue = new ArrayDeque<>();
    private final Map<String, Integer> runsByOrder = new HashMap<>();
    private long incarnation = drawIncarnation();
    private int running;
    private int finishedSinceStart;
    private boolean leaving;
    private double slowFactor = 1;
    private long slowUntilNanos;
    private long started;
    private long finished;
    private int maxHeld;
    private long coldOverruns;
    private long probes;
    private long shed;
    private long crashes;
    private long lastStartedMillis;

    UpstreamModel(UpstreamSettings settings, ScheduledExecutorService timer, Runnable fallOver) {
        this.settings = settings;
        this.timer = timer;
        this.fallOver = fallOver;
    }

    /** Takes a request or returns false when it is shed. */
    boolean arrive(Job job) {
        boolean overrun;
        synchronized (this) {
            if (leaving || running + queue.size() >= settings.slots() + settings.queueLimit()) {
                shed++;
                return false;
            }
            queue.add(job);
            maxHeld = Math.max(maxHeld, held());
            overrun = isCold() && held() > settings.coldRequests();
            if (overrun) {
                coldOverruns++;
            }
        }
        if (overrun) {
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
        fallOver.run();
    }

    synchronized void becomeCold() {
        finishedSinceStart = 0;
        incarnation = drawIncarnation();
    }

    synchronized void warm() {
        finishedSinceStart = settings.warmAfter();
    }

    synchronized void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    synchronized void slowDown(double factor, Duration span) {
        slowFactor = factor;
        slowUntilNanos = System.nanoTime() + span.toNanos();
    }

    synchronized void countProbe() {
        probes++;
    }

    synchronized Report report() {
        return new Report(held(), isCold(), leaving, Long.toHexString(incarnation));
    }

    synchronized Witness witness() {
        return new Witness(
                started, finished, maxHeld, coldOverruns, probes, shed, crashes, lastStartedMillis, isCold());
    }

    synchronized Map<String, Integer> runsByOrder() {
        return Map.copyOf(runsByOrder);
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
            if (!job.order().isEmpty()) {
                runsByOrder.merge(job.order(), 1, Integer::sum);
            }
            incarnationAtStart = incarnation;
        }
        timer.schedule(() -> finish(job, incarnationAtStart), workNanos(job), TimeUnit.NANOSECONDS);
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
        job.done().run();
        startNext();
    }

    private synchronized long workNanos(Job job) {
        double factor = System.nanoTime() < slowUntilNanos ? slowFactor : 1;
        return (long) (job.work().toNanos() * factor);
    }

    private int held() {
        return running + queue.size();
    }

    private boolean isCold() {
        return finishedSinceStart < settings.warmAfter();
    }

    private static long drawIncarnation() {
        return ThreadLocalRandom.current().nextLong();
    }

    /**
     * One request.
     *
     * @param order order number whose runs are counted, or empty
     * @param work how long it takes on a slot
     * @param done answers it
     */
    record Job(String order, Duration work, Runnable done) {}

    /**
     * What the upstream says of itself.
     *
     * @param running requests held
     * @param cold whether it is cold
     * @param leaving whether it is leaving
     * @param incarnation life of the upstream
     */
    record Report(int running, boolean cold, boolean leaving, String incarnation) {}
}
