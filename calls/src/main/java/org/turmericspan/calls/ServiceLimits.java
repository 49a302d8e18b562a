package org.turmericspan.calls;

import java.time.Duration;

/**
 * Limits on the requests of one service.
 *
 * @param defaultDeadline time allowed for a request that specifies no deadline
 * @param maxDeadline longest time that a request may specify
 * @param bodyLimitBytes maximum size of a request body
 * @param answerLimitBytes maximum size of a response
 */
public record ServiceLimits(Duration defaultDeadline, Duration maxDeadline, int bodyLimitBytes, int answerLimitBytes) {}
