package org.turmericspan.runs;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Header;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Table of the runs that were started under the run tokens of this incarnation of the node, with their outcomes. Each
 * token belongs to the epoch, a time span of fixed length, in which it was issued. The table knows a token until its
 * epoch expires; after that the outcome is unknown. A token whose request was refused as not run is not accepted again.
 */
public final class RunTable {
    /** Assumed memory of a stored outcome besides headers and body. */
    private static final int RUN_OVERHEAD_BYTES = 512;

    /** Assumed memory of a header besides its name and value. */
    private static final int HEADER_OVERHEAD_BYTES = 64;

    private final RankedLock lock = new RankedLock(LockRank.RUNS);
    private final TreeMap<Epoch, EpochRuns> epochs = new TreeMap<>();
    private final RunTableLimits limits;
    private final MonotonicClock clock;
    private final long startNanos;
    private final Supplier<RefusedTokens> refusedTokensFactory;

    /** Number of runs in the table, in flight or ended. */
    private int entryCount;

    private int inFlight;
    private long storedBytes;

    /**
     * Creates an empty table.
     *
     * @param limits limits of the table
     * @param clock monotonic clock; the first epoch begins now
     */
    public RunTable(RunTableLimits limits, MonotonicClock clock) {
        this(limits, clock, RefusedTokenFilter::new);
    }

    RunTable(RunTableLimits limits, MonotonicClock clock, Supplier<RefusedTokens> refusedTokensFactory) {
        this.limits = limits;
        this.clock = clock;
        this.startNanos = clock.nowNanos();
        this.refusedTokensFactory = refusedTokensFactory;
    }

    /**
     * Returns the epoch to which newly issued tokens belong.
     *
     * @return the current epoch; the first one is 0
     */
    public Epoch currentEpoch() {
        return new Epoch((clock.nowNanos() - startNanos) / limits.epochLength().toNanos());
    }

    /**
     * Returns statistics of the table, after the expired epochs were removed.
     *
     * @return counts, without tokens or data of callers
     */
    public RunTableStats stats() {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            expireBefore(oldestValidEpoch(current));
            return new RunTableStats(current, oldestValidEpoch(current), inFlight, entryCount - inFlight, storedBytes);
        });
    }

    /**
     * Decides on a request with a run token of this incarnation, and registers its run when it is to be started.
     *
     * @param token run token of the request
     * @param office account of the caller that sent the request
     * @param digest digest of the request
     * @return whether to start the request, to wait for the run of an earlier copy, or to refuse the request
     */
    TokenDecision admit(RunToken token, OfficeId office, RequestDigest digest) {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            Epoch oldest = oldestValidEpoch(current);
            expireBefore(oldest);
            if (token.epoch().compareTo(oldest) < 0) {
                return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_EXPIRED);
            }
            if (token.epoch().compareTo(current) > 0) {
                return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_NOT_ISSUED);
            }
            EpochRuns epoch =
                    epochs.computeIfAbsent(token.epoch(), number -> new EpochRuns(refusedTokensFactory.get()));
            Run existing = epoch.runs.get(token);
            return existing == null ? startRun(epoch, token, office, digest) : joinRun(existing, office, digest);
        });
    }

    /**
     * Records the outcome of a run: stores it for duplicates of the request or, if the request was refused as not run,
     * adds the token to the refused ones. The caller of this method completes {@link Run#outcome()} afterwards, outside
     * the lock.
     *
     * @param run run that {@link #admit} started
     * @param result outcome of the run
     */
    void finish(Run run, CallResult result) {
        lock.run(() -> {
            EpochRuns epoch = epochs.get(run.token().epoch());
            if (epoch == null || epoch.runs.get(run.token()) != run) {
                return;
            }
            inFlight--;
            epoch.inFlight--;
            if (isNotRun(result)) {
                epoch.runs.remove(run.token());
                epoch.refused.add(run.token());
                entryCount--;
            } else {
                storeOutcome(epoch, run, result);
            }
        });
    }

    private static boolean isNotRun(CallResult result) {
        return result instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO;
    }

    private TokenDecision startRun(EpochRuns epoch, RunToken token, OfficeId office, RequestDigest digest) {
        if (epoch.refused.mayContain(token)) {
            return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_SPENT);
        }
        if (entryCount >= limits.maxEntries() || storedBytes >= limits.maxBytes()) {
            epoch.refused.add(token);
            return new TokenDecision.Refuse(ResultCode.RUN_TABLE_FULL);
        }
        Run run = Run.create(token, office, digest);
        epoch.runs.put(token, run);
        epoch.inFlight++;
        entryCount++;
        inFlight++;
        return new TokenDecision.Start(run);
    }

    private static TokenDecision joinRun(Run existing, OfficeId office, RequestDigest digest) {
        if (!existing.office().equals(office)) {
            return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_OF_ANOTHER_CALLER);
        }
        if (!existing.digest().equals(digest)) {
            return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_REUSED);
        }
        return new TokenDecision.Duplicate(existing.outcome());
    }

    private void storeOutcome(EpochRuns epoch, Run run, CallResult result) {
        if (storedBytes < limits.maxBytes()) {
            long bytes = storedSizeBytes(result);
            epoch.storedBytes += bytes;
            storedBytes += bytes;
            return;
        }
        Run withoutResponse = Run.create(run.token(), run.office(), run.digest());
        withoutResponse.outcome().complete(CallResult.Refused.of(ResultCode.ANSWER_NOT_STORED, ""));
        epoch.runs.put(run.token(), withoutResponse);
    }

    private static long storedSizeBytes(CallResult result) {
        if (!(result instanceof CallResult.Answered answered)) {
            return RUN_OVERHEAD_BYTES;
        }
        long bytes = RUN_OVERHEAD_BYTES + answered.body().length();
        for (Header header : answered.headers()) {
            bytes += HEADER_OVERHEAD_BYTES
                    + header.name().length()
                    + header.value().length();
        }
        return bytes;
    }

    private Epoch oldestValidEpoch(Epoch current) {
        return new Epoch(Math.max(0, current.number() - limits.validEpochs() + 1));
    }

    private void expireBefore(Epoch oldest) {
        Map<Epoch, EpochRuns> expired = epochs.headMap(oldest);
        for (EpochRuns epoch : expired.values()) {
            entryCount -= epoch.runs.size();
            inFlight -= epoch.inFlight;
            storedBytes -= epoch.storedBytes;
        }
        expired.clear();
    }

    private static final class EpochRuns {
        private final Map<RunToken, Run> runs = new HashMap<>();
        private final RefusedTokens refused;
        private int inFlight;
        private long storedBytes;

        EpochRuns(RefusedTokens refused) {
            this.refused = refused;
        }
    }
}
