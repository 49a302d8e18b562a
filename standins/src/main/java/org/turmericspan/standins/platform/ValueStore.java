package org.turmericspan.standins.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stores values with revisions. A written value becomes visible after the lag of its key; while the store is frozen, no
 * new value becomes visible.
 */
final class ValueStore {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "platform-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Value> written = new HashMap<>();
    private final Map<String, Value> visible = new HashMap<>();
    private final Map<String, Duration> lags = new HashMap<>();
    private CompletableFuture<Void> nextUpdate = new CompletableFuture<>();
    private boolean frozen;

    synchronized long write(String key, String text) {
        long revision =
                Optional.ofNullable(written.get(key)).map(Value::revision).orElse(0L) + 1;
        written.put(key, new Value(revision, text));
        Duration lag = lags.getOrDefault(key, Duration.ZERO);
        if (lag.isZero()) {
            makeAllWithoutLagVisible();
        } else {
            Value value = written.get(key);
            timer.schedule(() -> makeVisible(key, value), lag.toMillis(), TimeUnit.MILLISECONDS);
        }
        return revision;
    }

    /** Replaces a value by that of an older copy, from whose revision the next writes go on. */
    synchronized void restore(String key, Value copy) {
        written.put(key, copy);
        visible.put(key, copy);
        notifyWatchers();
    }

    synchronized void setLag(String key, Duration lag) {
        lags.put(key, lag);
    }

    synchronized void setFrozen(boolean newFrozen) {
        frozen = newFrozen;
        makeAllWithoutLagVisible();
    }

    /** Waits for a value newer than a revision; the future always completes, and is empty after the timeout. */
    CompletableFuture<Optional<Value>> watch(String key, long afterRevision, Duration timeout) {
        CompletableFuture<Optional<Value>> result = new CompletableFuture<>();
        timer.schedule(() -> result.complete(Optional.empty()), timeout.toMillis(), TimeUnit.MILLISECONDS);
        awaitUpdate(key, afterRevision, result);
        return result;
    }

    private synchronized void awaitUpdate(String key, long afterRevision, CompletableFuture<Optional<Value>> result) {
        if (result.isDone()) {
            return;
        }
        Value value = visible.get(key);
        if (value != null && value.revision() > afterRevision) {
            result.complete(Optional.of(value));
            return;
        }
        nextUpdate.thenRunAsync(() -> awaitUpdate(key, afterRevision, result), timer);
    }

    private synchronized void makeVisible(String key, Value value) {
        Value current = visible.get(key);
        if (!frozen && (current == null || current.revision() < value.revision())) {
            visible.put(key, value);
            notifyWatchers();
        }
    }

    private void makeAllWithoutLagVisible() {
        written.forEach((key, value) -> {
            if (lags.getOrDefault(key, Duration.ZERO).isZero()) {
                makeVisible(key, value);
            }
        });
    }

    private void notifyWatchers() {
        CompletableFuture<Void> completedUpdate = nextUpdate;
        nextUpdate = new CompletableFuture<>();
        completedUpdate.complete(null);
    }

    /**
     * A value with its revision.
     *
     * @param revision number of writes to the key, from 1, or from that of the copy that was restored
     * @param text the value
     */
    record Value(long revision, String text) {}
}
