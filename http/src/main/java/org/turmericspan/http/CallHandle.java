package org.turmericspan.http;

/** A call under way. */
@FunctionalInterface
public interface CallHandle {
    /** Gives the call up: its connection is closed and its listener is not called any more. */
    void cancel();
}
