package org.turmericspan.bench.load;

import java.time.Duration;

/**
 * One request to be sent.
 *
 * @param number number of the request within the run; its identifiers are derived from it
 * @param service name of the called service
 * @param isOrder whether the request is a non-idempotent order
 * @param office number of the office
 * @param caller number of the caller within the office
 * @param work how long the upstream works
 * @param responseBytes size of the response
 * @param deadline deadline sent with the request
 * @param body the body of an order
 */
public record CallSpec(
        long number,
        String service,
        boolean isOrder,
        int office,
        int caller,
        Duration work,
        int responseBytes,
        Duration deadline,
        String body) {}
