package org.turmericspan.bench.load;

import java.time.Duration;

/**
 * One request to be sent.
 *
 * @param number number of the request within its run, which makes its identifiers
 * @param service service called
 * @param isOrder whether it is non-idempotent
 * @param office number of the office
 * @param caller number of the caller within the office
 * @param work how long the upstream works
 * @param answerBytes size of the answer
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
        int answerBytes,
        Duration deadline,
        String body) {}
