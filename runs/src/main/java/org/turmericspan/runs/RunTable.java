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
 * Runs started under the tokens of this life of the node, and what became of them. A token leaves the table only with
 * its epoch; after that its outcome is unknown. A refusal as not run is final for its token.
 */
public final class RunTable {
    private static final int RUN_BYTES = 512;
    private static final int HEADER_BYTES = 64;

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
     * @param limits bounds of the table
     * @param clock moves the epochs on
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
     * Returns the epoch in which new tokens are stamped.
     *
     * @return the current epoch
     */
    public Epoch currentEpoch() {
        return new Epoch((clock.nowNanos() - startNanos) / limits.epochLength().toNanos());
    }

    /**
     * Describes the table.
     *
     * @return counts, without tokens or callers' data
     */
    public RunTableStats stats() {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            expireBefore(oldestLive(current));
            return new RunTableStats(current, oldestLive(current), inFlight, entries - inFlight, storedBytes);
        });
    }

    RunDecision admit(RunToken token, OfficeId office, RequestDigest digest) {
        return lock.compute(() -> {
            Epoch current = currentEpoch();
            Epoch oldest = oldestLive(current);
            expireBefore(oldest);
            if (token.epoch().compareTo(oldest) < 0) {
                return new RunDecision.Refuse(ResultCode.RUN_TOKEN_EXPIRED);
            }
            if (token.epoch().compareTo(current) > 0) {
                return new RunDecision.Refuse(ResultCode.RUN_TOKEN_NOT_ISSUED);
            }
            EpochRuns epoch = epochs.computeIfAbsent(token.epoch(), number -> new EpochRuns(newRefusedTokens.get()));
            Run known = epoch.runs.get(token);
            return known == null ? begin(epoch, token, office, digest) : repeat(known, office, digest);
        });
    }

    /**
     * Stores the outcome of a run. The caller completes {@link Run#outcome()} with it afterwards, outside the lock.
     *
     * @param run a run that {@link #admit} started
     * @param result its outcome
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
                store(epoch, run, result);
            }
        });
    }

    private static boolean isNotRun(CallResult result) {
        return result instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO;
    }

    private RunDecision begin(EpochRuns epoch, RunToken token, OfficeId office, RequestDigest digest) {
        if (epoch.refused.mayContain(token)) {
            return new RunDecision.Refuse(ResultCode.RUN_TOKEN_SPENT);
        }
        if (entries >= limits.maxEntries() || storedBytes >= limits.maxBytes()) {
            epoch.refused.add(token);
            return new RunDecision.Refuse(ResultCode.RUN_TABLE_FULL);
        }
        Run run = Run.begin(token, office, digest);
        epoch.runs.put(token, run);
        epoch.inFlight++;
        entries++;
        inFlight++;
        return new RunDecision.Start(run);
    }

    private static RunDecision repeat(Run known, OfficeId office, RequestDigest digest) {
        if (!known.office().equals(office)) {
            return new RunDecision.Refuse(ResultCode.RUN_TOKEN_OF_ANOTHER_CALLER);
        }
        if (!known.digest().equals(digest)) {
            return new RunDecision.Refuse(ResultCode.RUN_TOKEN_REUSED);
        }
        return new RunDecision.Repeat(known.outcome());
    }

    private void store(EpochRuns epoch, Run run, CallResult result) {
        if (storedBytes < limits.maxBytes()) {
            long bytes = bytes(result);
            epoch.storedBytes += bytes;
            storedBytes += bytes;
            return;
        }
        Run withoutAnswer = Run.begin(run.token(), run.office(), run.digest());
        withoutAnswer.outcome().complete(CallResult.Refused.of(ResultCode.ANSWER_NOT_STORED, ""));
        epoch.runs.put(run.token(), withoutAnswer);
    }

    private static long bytes(CallResult result) {
        if (!(result instanceof CallResult.Answered answered)) {
            return RUN_BYTES;
        }
        long bytes = RUN_BYTES + answered.body().length();
        for (Header header : answered.headers()) {
            bytes += HEADER_BYTES + header.name().length() + header.value().length();
        }
        return bytes;
    }

    private Epoch oldestLive(Epoch current) {
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
