package org.turmericspan.runs;

import java.util.concurrent.CompletableFuture;
import org.turmericspan.calls.CallResult;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RunToken;

/**
 * Request that was started under a run token, in flight or ended.
 *
 * @param token run token of the request
 * @param office account of the caller that sent the request
 * @param digest digest that identifies the request among others with the same token
 * @param outcome future that is completed once with the outcome, never while a lock is held
 */
record Run(RunToken token, OfficeId office, RequestDigest digest, CompletableFuture<CallResult> outcome) {
    static Run create(RunToken token, OfficeId office, RequestDigest digest) {
        return new Run(token, office, digest, new CompletableFuture<>());
    }
}
