package org.turmericspan.bench.load;

import java.util.concurrent.CompletableFuture;

/** Sends requests as a caller would. */
@FunctionalInterface
public interface Caller {
    /**
     * Sends one request without blocking.
     *
     * @param spec the request
     * @return its end; the future never completes exceptionally
     */
    CompletableFuture<CallEnd> call(CallSpec spec);
}
