package org.turmericspan.http;

/** Handle of a call in progress. */
@FunctionalInterface
public interface CallHandle {
    /** Cancels the call: closes its connection; the listener is no longer called. */
    void cancel();
}
