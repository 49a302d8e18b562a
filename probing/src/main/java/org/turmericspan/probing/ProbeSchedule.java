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
 * Decides when each upstream is probed. A new target is first probed after one to two periods, so that a new owner
 * does not probe it immediately. At most one probe of an upstream is in flight.
 */
public final class ProbeSchedule {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<UpstreamId, Entry> entries = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates an empty schedule.
     *
     * @param random spreads the first probes over time
     */
    public ProbeSchedule(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Replaces the targets. Those that remain keep their due time and their probe in flight.
     *
     * @param targets upstreams to probe from now on
     * @param nowNanos monotonic time
     */
    public void setTargets(Collection<ProbeTarget> targets, long nowNanos) {
        lock.run(() -> {
            Map<UpstreamId, Entry> previous = new HashMap<>(entries);
            entries.clear();
            for (ProbeTarget target : targets) {
                Entry entry = previous.get(target.upstream());
                entries.put(
                        target.upstream(),
                        entry == null
                                ? new Entry(target, firstDueNanos(target, nowNanos), false)
                                : new Entry(target, entry.dueNanos, entry.isInFlight));
            }
        });
    }

    /**
     * Returns the targets that are due and marks their probes as in flight.
     *
     * @param nowNanos monotonic time
     * @return targets to probe now
     */
    public List<ProbeTarget> pollDue(long nowNanos) {
        return lock.compute(() -> {
            List<ProbeTarget> due = new ArrayList<>();
            entries.replaceAll((upstream, entry) -> {
                if (entry.isInFlight || entry.dueNanos - nowNanos > 0) {
                    return entry;
                }
                due.add(entry.target);
                return new Entry(entry.target, nowNanos + entry.target.period().toNanos(), true);
            });
            return due;
        });
    }

    /**
     * Marks the probe of an upstream as completed.
     *
     * @param upstream upstream that was probed
     */
    public void markCompleted(UpstreamId upstream) {
        lock.run(() ->
                entries.computeIfPresent(upstream, (id, entry) -> new Entry(entry.target, entry.dueNanos, false)));
    }

    /**
     * Lists the targets.
     *
     * @return targets in no particular order
     */
    public List<ProbeTarget> targets() {
        return lock.compute(
                () -> entries.values().stream().map(entry -> entry.target).toList());
    }

    private long firstDueNanos(ProbeTarget target, long nowNanos) {
        long periodNanos = target.period().toNanos();
        return nowNanos + periodNanos + random.nextLong(periodNanos);
    }

    private record Entry(ProbeTarget target, long dueNanos, boolean isInFlight) {}
}
