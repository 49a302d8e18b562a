package org.turmericspan.probing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Decides when each upstream is probed: a token bucket an upstream that holds one token and starts empty, so that a new
 * keeper never adds a probe of its own at once. One probe of an upstream runs at a time.
 */
public final class ProbeSchedule {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<UpstreamId, Entry> entries = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates an empty schedule.
     *
     * @param random spreads the first probes
     */
    public ProbeSchedule(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Replaces the targets; those that stay keep their turn.
     *
     * @param targets what is probed from now on
     * @param nowNanos monotonic time
     */
    public void setTargets(Collection<ProbeTarget> targets, long nowNanos) {
        lock.run(() -> {
            Map<UpstreamId, Entry> before = new HashMap<>(entries);
            entries.clear();
            for (ProbeTarget target : targets) {
                Entry entry = before.get(target.upstream());
                entries.put(
                        target.upstream(),
                        entry == null
                                ? new Entry(target, firstDueNanos(target, nowNanos), false)
                                : new Entry(target, entry.dueNanos, entry.isRunning));
            }
        });
    }

    /**
     * Takes the targets whose turn has come and marks their probes as running.
     *
     * @param nowNanos monotonic time
     * @return targets to probe now
     */
    public List<ProbeTarget> takeDue(long nowNanos) {
        return lock.compute(() -> {
            List<ProbeTarget> due = new ArrayList<>();
            entries.replaceAll((upstream, entry) -> {
                if (entry.isRunning || entry.dueNanos - nowNanos > 0) {
                    return entry;
                }
                due.add(entry.target);
                return new Entry(entry.target, nowNanos + entry.target.period().toNanos(), true);
            });
            return due;
        });
    }

    /**
     * Marks a probe as ended.
     *
     * @param upstream upstream that was probed
     */
    public void ended(UpstreamId upstream) {
        lock.run(() ->
                entries.computeIfPresent(upstream, (id, entry) -> new Entry(entry.target, entry.dueNanos, false)));
    }

    /**
     * Lists the targets.
     *
     * @return in no order
     */
    public List<ProbeTarget> targets() {
        return lock.compute(
                () -> entries.values().stream().map(entry -> entry.target).toList());
    }

    private long firstDueNanos(ProbeTarget target, long nowNanos) {
        long periodNanos = target.period().toNanos();
        return nowNanos + periodNanos + random.nextLong(periodNanos);
    }

    private record Entry(ProbeTarget target, long dueNanos, boolean isRunning) {}
}
