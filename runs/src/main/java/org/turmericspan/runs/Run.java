package org.turmericspan.runs;

import java.util.concurrent.CompletableFuture;
import org.turmericspan.calls.CallResult;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RunToken;

/**
 * One run in the table.
 *
 * @param token right under which it was started
 * @param office account of the caller that started it
 * @param digest digest of its request
 * @param outcome completed once with its outcome, never under a lock
 */
record Run(RunToken token, OfficeId office, RequestDigest digest, CompletableFuture<CallResult> outcome) {
    static Run begin(RunToken token, OfficeId office, RequestDigest digest) {
        return new Run(token, office, digest, new CompletableFuture<>());
    }
}
