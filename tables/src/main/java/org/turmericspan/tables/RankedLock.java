package org.turmericspan.tables;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Lock of one shared table. It refuses to be taken while the thread holds a lock of the same or a later rank, so that
 * a wrong order fails in the first test that runs it and never as a deadlock.
 */
public final class RankedLock {
    private static final ThreadLocal<Deque<LockRank>> HELD = ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank rank;
    private final ReentrantLock lock = new ReentrantLock();

    /**
     * Creates a lock.
     *
     * @param rank place of the table in the lock order
     */
    public RankedLock(LockRank rank) {
        this.rank = rank;
    }

    /**
     * Runs an action under the lock. The action must not call out of its table.
     *
     * @param action reads or changes the table
     */
    public void run(Runnable action) {
        enter();
        try {
            action.run();
        } finally {
            exit();
        }
    }

    /**
     * Computes a value under the lock. The action must not call out of its table.
     *
     * @param action reads or changes the table
     * @param <T> type of the value
     * @return what the action returned
     */
    public <T> T compute(Supplier<T> action) {
        enter();
        try {
            return action.get();
        } finally {
            exit();
        }
    }

    private void enter() {
        Deque<LockRank> held = HELD.get();
        LockRank last = held.peekLast();
        if (last != null && last.compareTo(rank) >= 0) {
            throw new IllegalStateException("Lock " + rank + " must not be taken while " + last + " is held");
        }
        lock.lock();
        held.addLast(rank);
    }

    private void exit() {
        HELD.get().removeLast();
        lock.unlock();
    }
}
