package org.turmericspan.calls;

import java.time.Duration;

/**
 * Limits on the requests of one service.
 *
 * @param defaultDeadline deadline of a request that names none
 * @param maxDeadline longest deadline a request may name
 * @param bodyLimitBytes largest request body
 * @param answerLimitBytes largest answer
 */
public record ServiceLimits(Duration defaultDeadline, Duration maxDeadline, int bodyLimitBytes, int answerLimitBytes) {}
