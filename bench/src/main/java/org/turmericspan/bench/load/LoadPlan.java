package org.turmericspan.bench.load;

import java.time.Duration;

/**
 * Describes a stream of requests.
 *
 * @param service name of the called service
 * @param ratePerSecond requests per second on average, at random times
 * @param duration length of the stream
 * @param work average time that an upstream works on one request
 * @param responseBytes size of a response
 * @param deadline deadline of a request
 * @param ordersPercent percentage of non-idempotent requests
 * @param offices number of offices
 * @param callersPerOffice number of callers in each office
 * @param seed seed of the random stream; equal seeds give equal streams
 */
public record LoadPlan(
        String service,
        double ratePerSecond,
        Duration duration,
        Duration work,
        int responseBytes,
        Duration deadline,
        int ordersPercent,
        int offices,
        int callersPerOffice,
        long seed) {
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(5);
    private static final int DEFAULT_RESPONSE_BYTES = 400;
    private static final int DEFAULT_OFFICES = 6;
    private static final int DEFAULT_CALLERS_PER_OFFICE = 5;

    /**
     * Creates a plan of lookups from several offices.
     *
     * @param service name of the called service
     * @param ratePerSecond requests per second on average
     * @param duration length of the stream
     * @param work average time that an upstream works on one request
     * @param seed seed of the random stream; equal seeds give equal streams
     * @return a plan without orders
     */
    public static LoadPlan lookups(String service, double ratePerSecond, Duration duration, Duration work, long seed) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                DEFAULT_RESPONSE_BYTES,
                DEFAULT_DEADLINE,
                0,
                DEFAULT_OFFICES,
                DEFAULT_CALLERS_PER_OFFICE,
                seed);
    }

    /**
     * Returns a copy with a share of orders.
     *
     * @param percent percentage of non-idempotent requests
     * @return the copy
     */
    public LoadPlan withOrders(int percent) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                responseBytes,
                deadline,
                percent,
                offices,
                callersPerOffice,
                seed);
    }

    /**
     * Returns a copy with another deadline.
     *
     * @param newDeadline deadline of a request
     * @return the copy
     */
    public LoadPlan withDeadline(Duration newDeadline) {
        return new LoadPlan(
                service,
                ratePerSecond,
                duration,
                work,
                responseBytes,
                newDeadline,
                ordersPercent,
                offices,
                callersPerOffice,
                seed);
    }
}
