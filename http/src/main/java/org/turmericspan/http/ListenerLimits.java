package org.turmericspan.http;

/**
 * Limits of a connection that a listener accepts.
 *
 * @param maxHeaderBytes maximum size of the header section, and of the request line
 * @param maxBodyBytes maximum size of a request body
 * @param headTimeoutNanos time within which a request head must be complete
 * @param idleTimeoutNanos time after which an idle connection, or one whose request is incomplete, is closed
 */
public record ListenerLimits(int maxHeaderBytes, int maxBodyBytes, long headTimeoutNanos, long idleTimeoutNanos) {}
