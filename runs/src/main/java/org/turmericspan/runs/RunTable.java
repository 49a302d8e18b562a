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
 * Table of the runs that were started under the run tokens of this incarnation of the node, with their outcomes. A
 * token leaves the table only when its epoch expires; after that its outcome is unknown. A token whose request was
 * refused as not run is never accepted again.
 */
public final class RunTable {
    private static final int RUN_OVERHEAD_BYTES = 512;
    private static final int HEADER_OVERHEAD_BYTES = 64;

    private final RankedLock lock = new RankedLock(LockRank.RUNS);
    private final TreeMap<Epoch, EpochRuns> epochs = new TreeMap<>();
    private final RunTableLimits limits;
    private final MonotonicClock clock;
    private final long startNanos;
    private final Supplier<RefusedTokens> newRefusedTokens;
    private int entries;
    private int inFlight;
    private long storedBytes;

    /**
     * Creates an empty table.
     *
     * @param limits limits of the table
     * @param clock clock that epochs are derived from
     */
    public RunTable(RunTableLimits limits, MonotonicClock clock) {
        this(limits, clock, RefusedTokenFilter::new);
    }

    RunTable(RunTableLimits limits, MonotonicClock clock, Supplier<RefusedTokens> newRefusedTokens) {
        this.limits = limits;
        this.clock = clock;
        this.startNanos = clock.nowNanos();
        this.newRefusedTokens = newRefusedTokens;
    }

    /**
     * Returns the epoch in which new tokens are issued.
     *
     * @return the current epoch
     */
    public Epoch currentEpoch() {
        return new Epoch((clock.nowNanos() - startNanos) / limits.epochLength().toNanos());
    }

    /**
     * Returns statistics of the table.
     *
     * @return counts, without tokens or data of callers
     */
    public RunTableStats stats() {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            expireBefore(oldestValid(current));
            return new RunTableStats(current, oldestValid(current), inFlight, entries - inFlight, storedBytes);
        });
    }

    TokenDecision admit(RunToken token, OfficeId office, RequestDigest digest) {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            Epoch oldest = oldestValid(current);
            expireBefore(oldest);
            if (token.epoch().compareTo(oldest) < 0) {
                return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_EXPIRED);
            }
            if (token.epoch().compareTo(current) > 0) {
                return new TokenDecision.Refuse(ResultCode.RUN_TOKEN_NOT_ISSUED);
            }
            EpochRuns epoch = epochs.computeIfAbsent(token.epoch(), number -> new EpochRuns(newRefusedTokens.get()));
            Run existing = epoch.runs.get(token);
            return existing == null ? startRun(epoch, token, office, digest) : joinRun(existing, office, digest);
        });
    }

    /**
     * Stores the outcome of a run. The caller of this method completes {@link Run#outcome()} with it afterwards,
     * outside the lock.
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
                entries--;
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
        if (entries >= limits.maxEntries() || storedBytes >= limits.maxBytes()) {
            epoch.refused.add(token);
            return new TokenDecision.Refuse(ResultCode.RUN_TABLE_FULL);
        }
        Run run = Run.create(token, office, digest);
        epoch.runs.put(token, run);
        epoch.inFlight++;
        entries++;
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

    private Epoch oldestValid(Epoch current) {
        return new Epoch(Math.max(0, current.number() - limits.validEpochs() + 1));
    }

    private void expireBefore(Epoch oldest) {
        Map<Epoch, EpochRuns> expired = epochs.headMap(oldest);
        for (EpochRuns epoch : expired.values()) {
            entries -= epoch.runs.size();
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
