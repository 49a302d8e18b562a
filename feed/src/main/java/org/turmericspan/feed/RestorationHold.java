package org.turmericspan.feed;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Registration;
import org.turmericspan.ids.UpstreamId;

/**
 * Keeps in force what a store that was restored from an older copy takes back, until it is written again or the hold
 * ends. Knows for this which registrations are in force and which upstreams were removed last. Used by the worker of
 * the feed.
 */
final class RestorationHold {
    /**
     * Longest time for which a state that the restored store does not have stays in force; covers the expiry of the
     * entry of an upstream that is gone, and the time within which an evacuation takes effect while the store is away.
     */
    static final long HOLD_MILLIS = 10_000;

    private static final int MAX_REMOVED = 1_000;
    private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);

    private final ScheduledExecutorService worker;
    private final Map<UpstreamId, Registration> inForce = new HashMap<>();
    /** Start times of the upstreams that were removed last. */
    private final Map<UpstreamId, Long> removedStartedMillis = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamId, Long> eldest) {
            return size() > MAX_REMOVED;
        }
    };

    private final Map<String, Runnable> heldChanges = new HashMap<>();

    private boolean isRestored;
    private boolean isRestoredTwice;
    private long restoredNanos;

    RestorationHold(ScheduledExecutorService worker) {
        this.worker = worker;
    }

    /** Records that the store was restored. */
    void recordRestoration(long nowNanos) {
        isRestoredTwice = isRestored && nowNanos - restoredNanos < HOLD_NANOS;
        isRestored = true;
        restoredNanos = nowNanos;
    }

    /** Returns whether the copy of the last restoration may be from before the restoration before it. */
    boolean isRestoredTwice() {
        return isRestoredTwice;
    }

    /** Records a registration that is in force from now on. */
    void recordRegistration(Registration registration) {
        inForce.put(registration.id(), registration);
        removedStartedMillis.remove(registration.id());
    }

    /** Records that an upstream is not in force any more. */
    void recordRemoval(UpstreamId id) {
        Registration removed = inForce.remove(id);
        if (removed != null) {
            removedStartedMillis.put(id, removed.startedMillis());
        }
    }

    /** Returns whether the same registration is in force already. */
    boolean isInForce(Registration registration) {
        Registration current = inForce.get(registration.id());
        return current != null && registration.equalsIgnoringWarmUp(current);
    }

    /**
     * Returns whether a registration of the restored store is older than what is in force: an earlier start of the
     * upstream, one that drains as if it did not, or one that was removed.
     */
    boolean isTakenBack(Registration restored) {
        Registration current = inForce.get(restored.id());
        if (current != null) {
            boolean isSameStart = restored.startedMillis() == current.startedMillis();
            return restored.startedMillis() < current.startedMillis()
                    || isSameStart && current.draining() && !restored.draining();
        }
        Long removed = removedStartedMillis.get(restored.id());
        return removed != null && restored.startedMillis() <= removed;
    }

    /**
     * Holds a change back. A later one of the same item replaces it.
     *
     * @param key key of the item
     * @param change puts the state of the restored store in force
     */
    void hold(String key, Runnable change) {
        heldChanges.put(key, change);
        worker.schedule(
                () -> {
                    if (heldChanges.remove(key, change)) {
                        change.run();
                    }
                },
                HOLD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns whether a change of an item is held back. */
    boolean isHeld(String key) {
        return heldChanges.containsKey(key);
    }

    /** Ends the holds of all items but these. */
    void retainAll(Set<String> keys) {
        heldChanges.keySet().retainAll(keys);
    }

    /** Ends the hold of an item, since it was written again. */
    void end(String key) {
        heldChanges.remove(key);
    }
}
