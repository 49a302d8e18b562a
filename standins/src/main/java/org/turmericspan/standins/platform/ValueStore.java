package org.turmericspan.standins.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Values with revisions. A written value becomes visible after the lag of its key; a frozen store shows no news. */
final class ValueStore {
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "platform-timer");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, Value> written = new HashMap<>();
    private final Map<String, Value> visible = new HashMap<>();
    private final Map<String, Duration> lags = new HashMap<>();
    private CompletableFuture<Void> news = new CompletableFuture<>();
    private boolean frozen;

    synchronized long write(String key, String text) {
        long revision =
                Optional.ofNullable(written.get(key)).map(Value::revision).orElse(0L) + 1;
        written.put(key, new Value(revision, text));
        Duration lag = lags.getOrDefault(key, Duration.ZERO);
        if (lag.isZero()) {
            show();
        } else {
            Value value = written.get(key);
            timer.schedule(() -> show(key, value), lag.toMillis(), TimeUnit.MILLISECONDS);
        }
        return revision;
    }

    synchronized void setLag(String key, Duration lag) {
        lags.put(key, lag);
    }

    synchronized void setFrozen(boolean newFrozen) {
        frozen = newFrozen;
        show();
    }

    /** Waits for a value after a revision; the future always completes, empty after the wait. */
    CompletableFuture<Optional<Value>> watch(String key, long afterRevision, Duration wait) {
        CompletableFuture<Optional<Value>> result = new CompletableFuture<>();
        timer.schedule(() -> result.complete(Optional.empty()), wait.toMillis(), TimeUnit.MILLISECONDS);
        awaitNews(key, afterRevision, result);
        return result;
    }

    private synchronized void awaitNews(String key, long afterRevision, CompletableFuture<Optional<Value>> result) {
        if (result.isDone()) {
            return;
        }
        Value value = visible.get(key);
        if (value != null && value.revision() > afterRevision) {
            result.complete(Optional.of(value));
            return;
        }
        news.thenRunAsync(() -> awaitNews(key, afterRevision, result), timer);
    }

    private synchronized void show(String key, Value value) {
        Value shown = visible.get(key);
        if (!frozen && (shown == null || shown.revision() < value.revision())) {
            visible.put(key, value);
            announce();
        }
    }

    private void show() {
        written.forEach((key, value) -> {
            if (lags.getOrDefault(key, Duration.ZERO).isZero()) {
                show(key, value);
            }
        });
    }

    private void announce() {
        CompletableFuture<Void> announced = news;
        news = new CompletableFuture<>();
        announced.complete(null);
    }

    /**
     * A value and its revision.
     *
     * @param revision counted from 1
     * @param text the value
     */
    record Value(long revision, String text) {}
}
