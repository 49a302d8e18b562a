package org.turmericspan.caps;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.caps.CapLimits.ShardLimits;

/**
 * One shard of a cap: a token bucket whose capacity counts what is granted and may still be used. In any window, the
 * permits of a shard that are used are at most its capacity and what it gains in the window, however long a batch lives
 * and whatever is lost: what was usable at the start of the window is within the capacity, and what becomes usable
 * later comes from the gain. Answers the load of one tenant on its share of the cap. Guarded by the lock of
 * {@link CapNode}.
 */
final class PermitShard {
    /** Time from an ask within which its sender uses permits for requests that wait. */
    static final long ASK_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Time from an ask within which its sender uses permits for later requests. */
    static final long BATCH_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
    /** Time after the end of a batch within which unused permits may be returned. */
    static final long RETURN_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);
    /** Longest time after which a refused caller is told to return. */
    private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Divisor of what is left that yields the most permits for later requests in one batch. */
    private static final int AHEAD_DIVISOR = 2;

    private static final double ROUNDING = 1e-6;
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final Map<Long, Grant> lastByAsker = new HashMap<>();
    private final Deque<Grant> byAskEnd = new ArrayDeque<>();
    private final Deque<Grant> byBatchEnd = new ArrayDeque<>();
    private double level;
    private long usable;
    private long refilledNanos;
    private long nextRetryNanos;

    /**
     * Creates an empty shard.
     *
     * @param heldSinceNanos time from which it gains permits; may lie in the future
     */
    PermitShard(long heldSinceNanos) {
        refilledNanos = heldSinceNanos;
        nextRetryNanos = heldSinceNanos;
    }

    /** Decides on an ask; a repeated one gets the same permits again, of which its sender uses one set only. */
    CapAnswer take(CapAsk ask, ShardLimits limits, long nowNanos) {
        expire(nowNanos);
        Grant last = lastByAsker.get(ask.asker());
        if (last != null && ask.number() < last.number) {
            return empty(ask, 0, 0);
        }
        if (last != null && ask.number() == last.number) {
            return granted(ask, last.granted, last.ahead);
        }
        if (last != null) {
            settle(last, ask.returned());
        }
        refill(limits, nowNanos);
        int granted = (int) Math.min(ask.waiting(), Math.floor(level + ROUNDING));
        if (granted <= 0) {
            return refuse(ask, limits, nowNanos);
        }
        int ahead = (int) Math.min(ask.ahead(), Math.floor((level - granted) / AHEAD_DIVISOR));
        grant(ask, granted, Math.max(0, ahead), nowNanos);
        return granted(ask, granted, Math.max(0, ahead));
    }

    private void grant(CapAsk ask, int granted, int ahead, long nowNanos) {
        Grant grant = new Grant(ask, granted, ahead, nowNanos);
        level = Math.max(0, level - granted - ahead);
        usable += granted + ahead;
        lastByAsker.put(ask.asker(), grant);
        byAskEnd.addLast(grant);
        byBatchEnd.addLast(grant);
    }

    private CapAnswer refuse(CapAsk ask, ShardLimits limits, long nowNanos) {
        double perPermitNanos = 1 / limits.refillPerNano();
        long emptyNanos = (long) Math.min(MAX_RETRY_NANOS, Math.max(0, (1 - level) * perPermitNanos))
                + Math.max(0, refilledNanos - nowNanos);
        nextRetryNanos = Math.max(nextRetryNanos, nowNanos + emptyNanos);
        long retryNanos = Math.min(MAX_RETRY_NANOS, nextRetryNanos - nowNanos);
        nextRetryNanos =
                Math.min(nowNanos + MAX_RETRY_NANOS, nextRetryNanos + (long) Math.min(MAX_RETRY_NANOS, perPermitNanos));
        return empty(ask, ceilMillis(emptyNanos), ceilMillis(retryNanos));
    }

    private static long ceilMillis(long nanos) {
        return (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    }

    private static CapAnswer empty(CapAsk ask, long emptyMillis, long retryMillis) {
        return new CapAnswer(
                ask.tenantHash(), ask.number(), CapAnswer.Verdict.EMPTY, 0, 0, 0, emptyMillis, retryMillis);
    }

    private CapAnswer granted(CapAsk ask, int granted, int ahead) {
        return new CapAnswer(
                ask.tenantHash(), ask.number(), CapAnswer.Verdict.GRANTED, granted, ahead, (int) level, 0, 0);
    }

    private void refill(ShardLimits limits, long nowNanos) {
        double gained = Math.max(0, nowNanos - refilledNanos) * limits.refillPerNano();
        refilledNanos = Math.max(refilledNanos, nowNanos);
        level = Math.min(level + gained, Math.max(0, limits.capacity() - usable));
    }

    /** Ends the last grant of an asker that asks again: what it does not return was used. */
    private void settle(Grant grant, int returned) {
        level += Math.min(Math.max(0, returned), grant.usableAhead);
        usable -= grant.usableNow + grant.usableAhead;
        grant.usableNow = 0;
        grant.usableAhead = 0;
    }

    private void expire(long nowNanos) {
        while (!byAskEnd.isEmpty() && byAskEnd.peekFirst().atNanos + ASK_LIFE_NANOS - nowNanos < 0) {
            Grant grant = byAskEnd.removeFirst();
            usable -= grant.usableNow;
            grant.usableNow = 0;
        }
        long keptNanos = BATCH_LIFE_NANOS + RETURN_GRACE_NANOS;
        while (!byBatchEnd.isEmpty() && byBatchEnd.peekFirst().atNanos + keptNanos - nowNanos < 0) {
            Grant grant = byBatchEnd.removeFirst();
            usable -= grant.usableAhead;
            grant.usableAhead = 0;
            lastByAsker.remove(grant.asker, grant);
        }
    }

    /** Describes the shard for operators. */
    String describe(ShardLimits limits, long nowNanos) {
        expire(nowNanos);
        refill(limits, nowNanos);
        return "level=" + Math.round(level) + " usable=" + usable + " capacity=" + Math.round(limits.capacity());
    }

    /** Permits granted to one asker. */
    private static final class Grant {
        private final long asker;
        private final long number;
        private final int granted;
        private final int ahead;
        private final long atNanos;
        private int usableNow;
        private int usableAhead;

        Grant(CapAsk ask, int granted, int ahead, long atNanos) {
            this.asker = ask.asker();
            this.number = ask.number();
            this.granted = granted;
            this.ahead = ahead;
            this.atNanos = atNanos;
            this.usableNow = granted;
            this.usableAhead = ahead;
        }
    }
}
