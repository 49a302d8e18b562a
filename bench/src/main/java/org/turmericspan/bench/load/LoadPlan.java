package org.turmericspan.bench.load;

import java.time.Duration;

/**
 * A stream of requests.
 *
 * @param service service called
 * @param ratePerSecond requests a second, at random moments
 * @param duration how long it lasts
 * @param work how long an upstream works on one request on average
 * @param answerBytes size of an answer
 * @param deadline deadline of a request
 * @param ordersPercent share of non-idempotent requests
 * @param offices number of offices
 * @param callersPerOffice number of callers in each
 * @param seed makes the stream the same in every run
 */
public record LoadPlan(
        String service,
        double ratePerSecond,
        Duration duration,
        Duration work,
        int answerBytes,
        Duration deadline,
        int ordersPercent,
        int offices,
        int callersPerOffice,
        long seed) {
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);
    private static final int DEFAULT_ANSWER_BYTES = 400;
    private static final int DEFAULT_OFFICES = 6;
    private static final int DEFAULT_CALLERS = 5;

    /**
     * Plans lookups of many offices.
     *
     * @param service service called
     * @param ratePerSecond requests a second
     * @param duration how long it lasts
     * @param work how long an upstream works on one
     * @param seed makes the stream the same in every run
     * @return a plan without orders
     */
    public static LoadPlan lookups(String service, double ratePerSecond, Duration duration, Duration work, long seed) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                DEFAULT_ANSWER_BYTES,
                DEFAULT_DEADLINE,
                0,
                DEFAULT_OFFICES,
                DEFAULT_CALLERS,
                seed);
    }

    /**
     * Mixes orders in.
     *
     * @param percent share of non-idempotent requests
     * @return a copy with them
     */
    public LoadPlan withOrders(int percent) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                answerBytes,
                deadline,
                percent,
                offices,
                callersPerOffice,
                seed);
    }

    /**
     * Sets the deadline.
     *
     * @param newDeadline deadline of a request
     * @return a copy with it
     */
    public LoadPlan withDeadline(Duration newDeadline) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                answerBytes,
                newDeadline,
                ordersPercent,
                offices,
                callersPerOffice,
                seed);
    }
}
