package org.turmericspan.bench.load;

import java.util.concurrent.CompletableFuture;

/** Sends requests in place of a real caller. */
@FunctionalInterface
public interface Caller {
    /**
     * Sends one request without blocking.
     *
     * @param spec the request
     * @return the result; the future never completes exceptionally
     */
    CompletableFuture<RequestResult> call(CallSpec spec);
}
