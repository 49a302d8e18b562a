package org.turmericspan.tables;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Lock of one shared table. Acquiring it fails while the thread holds a lock of the same or a later rank, so that a
 * wrong order fails in the first test that executes it instead of causing a deadlock.
 */
public final class RankedLock {
    /** Ranks of the locks that the current thread holds, in the order in which it acquired them. */
    private static final ThreadLocal<Deque<LockRank>> HELD_RANKS = ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    /**
     * Creates a lock.
     *
     * @param rank position of the table in the lock order
     */
    public RankedLock(LockRank rank) {
        this.rank = rank;
    }

    /**
     * Runs an action while holding the lock. The action must not call code outside the table that the lock guards.
     *
     * @param action reads or changes the table
     */
    public void run(Runnable action) {
        acquire();
        try {
            action.run();
        } finally {
            release();
        }
    }

    /**
     * Computes a value while holding the lock. The action must not call code outside the table that the lock guards.
     *
     * @param action reads or changes the table
     * @param <T> type of the value
     * @return the value that the action returned
     */
    public <T> T compute(Supplier<T> action) {
        acquire();
        try {
            return action.get();
        } finally {
            release();
        }
    }

    private void acquire() {
        Deque<LockRank> heldRanks = HELD_RANKS.get();
        LockRank lastRank = heldRanks.peekLast();
        if (lastRank != null && lastRank.compareTo(rank) >= 0) {
            throw new IllegalStateException("Lock " + rank + " must not be taken while " + lastRank + " is held");
        }
        lock.lock();
        heldRanks.addLast(rank);
    }

    private void release() {
        HELD_RANKS.get().removeLast();
        lock.unlock();
    }
}
