package org.turmericspan.bench.load;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Sends requests at random times that do not depend on responses, so that slow responses do not reduce the load. */
public final class OpenLoop {
    private static final AtomicLong NEXT_NUMBER = new AtomicLong();
    private static final long DRAIN_TIMEOUT_SECONDS = 30;
    private static final int PERCENT = 100;
    private static final double MIN_WORK_RATIO = 0.5;

    private OpenLoop() {}

    /**
     * Runs a stream to its end and waits for the last response.
     *
     * @param plan the stream
     * @param caller sends the requests
     * @return latencies and outcomes
     */
    public static LoadResult run(LoadPlan plan, Caller caller) {
        return run(plan, caller, (spec, callResult) -> {});
    }

    /**
     * Runs a stream to its end, waits for the last response, and reports each result to an observer.
     *
     * @param plan the stream
     * @param caller sends the requests
     * @param observer called with each result on the thread that received the response
     * @return latencies and outcomes
     */
    public static LoadResult run(LoadPlan plan, Caller caller, ResultObserver observer) {
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
            ResultObserver observer,
            LoadResult result,
            long dueNanos,
            long startNanos,
            Semaphore ended) {
        caller.call(spec).thenAccept(callResult -> {
            result.add(callResult, dueNanos - startNanos, System.nanoTime() - dueNanos);
            observer.onResult(spec, callResult);
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
                plan.responseBytes(),
                plan.deadline(),
                "order");
    }

    /** Returns a random work time between half and one and a half times the average. */
    private static Duration workTime(Random random, Duration average) {
        return Duration.ofNanos((long) (average.toNanos() * (MIN_WORK_RATIO + random.nextDouble())));
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
            if (!ended.tryAcquire(sent, DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IllegalStateException("Some requests did not end in the time allowed after the load");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Interrupted", e);
        }
    }

    /** Receives the result of each request. */
    @FunctionalInterface
    public interface ResultObserver {
        /**
         * Called when a request has ended.
         *
         * @param spec the request
         * @param callResult the result
         */
        void onResult(CallSpec spec, RequestResult callResult);
    }
}
