package org.turmericspan.http;

/**
 * Bounds on what a listener accepts.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest body
 * @param headTimeoutNanos longest time a head may take
 * @param idleTimeoutNanos longest time a kept connection may stay idle
 */
public record ListenerLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutNanos, long idleTimeoutNanos) {}
