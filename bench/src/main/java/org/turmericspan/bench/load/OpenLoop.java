package org.turmericspan.bench.load;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Sends requests at random moments that do not depend on the answers, so that a slow answer hides nothing. */
public final class OpenLoop {
    private static final AtomicLong NEXT_NUMBER = new AtomicLong();
    private static final long DRAIN_SECONDS = 30;
    private static final int PERCENT = 100;
    private static final double SHORTEST_WORK_SHARE = 0.5;

    private OpenLoop() {}

    /**
     * Runs a stream to its end and waits for the last answer.
     *
     * @param plan the stream
     * @param caller sends the requests
     * @return what came of it
     */
    public static LoadResult run(LoadPlan plan, Caller caller) {
        return run(plan, caller, (spec, end) -> {});
    }

    /**
     * Runs a stream to its end, waits for the last answer, and tells an observer of each end.
     *
     * @param plan the stream
     * @param caller sends the requests
     * @param observer told of each end on the thread that got the answer
     * @return what came of it
     */
    public static LoadResult run(LoadPlan plan, Caller caller, EndObserver observer) {
        LoadResult result = new LoadResult();
        Random random = new Random(plan.seed());
        Semaphore ended = new Semaphore(0);
        long startNanos = System.nanoTime();
        long dueNanos = startNanos;
        int sent = 0;
        while (true) {
            dueNanos += interval(random, plan.ratePerSecond());
            if (dueNanos - startNanos > plan.duration().toNanos()) {
                break;
            }
            parkUntil(dueNanos);
            send(plan, spec(plan, random), caller, observer, result, dueNanos, startNanos, ended);
            sent++;
        }
        awaitAll(ended, sent);
        return result;
    }

    private static void send(
            LoadPlan plan,
            CallSpec spec,
            Caller caller,
            EndObserver observer,
            LoadResult result,
            long dueNanos,
            long startNanos,
            Semaphore ended) {
        caller.call(spec).thenAccept(end -> {
            result.add(end, dueNanos - startNanos, System.nanoTime() - dueNanos);
            observer.ended(spec, end);
            ended.release();
        });
    }

    private static CallSpec spec(LoadPlan plan, Random random) {
        return new CallSpec(
                NEXT_NUMBER.incrementAndGet(),
                plan.service(),
                random.nextInt(PERCENT) < plan.ordersPercent(),
                random.nextInt(plan.offices()),
                random.nextInt(plan.callersPerOffice()),
                workTime(random, plan.work()),
                plan.answerBytes(),
                plan.deadline(),
                "order");
    }

    /** Draws a work time between half and one and a half times the average. */
    private static Duration workTime(Random random, Duration average) {
        return Duration.ofNanos((long) (average.toNanos() * (SHORTEST_WORK_SHARE + random.nextDouble())));
    }

    private static long interval(Random random, double ratePerSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) * TimeUnit.SECONDS.toNanos(1) / ratePerSecond);
    }

    private static void parkUntil(long dueNanos) {
        long waitNanos = dueNanos - System.nanoTime();
        while (waitNanos > 0) {
            LockSupport.parkNanos(waitNanos);
            waitNanos = dueNanos - System.nanoTime();
        }
    }

    private static void awaitAll(Semaphore ended, int sent) {
        try {
            if (!ended.tryAcquire(sent, DRAIN_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("Some requests never ended");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted", e);
        }
    }

    /** Is told of the end of each request. */
    @FunctionalInterface
    public interface EndObserver {
        /**
         * Takes the end of a request.
         *
         * @param spec the request
         * @param end its end
         */
        void ended(CallSpec spec, CallEnd end);
    }
}
