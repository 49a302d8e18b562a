package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.testkit.ManualExecutor;

/** Sources that respond after a fixed time with what a test says; records when the store was listed. */
final class SimulatedStore implements StoreReader {
    static final long RESPONSE_MILLIS = 4;

    private final ManualExecutor worker;
    private final MonotonicClock clock;
    private final List<Long> listMillis = new ArrayList<>();
    private long listResponseMillis = RESPONSE_MILLIS;
    private Supplier<StoreReadResult> lists = () -> new StoreReadResult.Failed("no list");
    private BiFunction<StoreSource, Long, StoreReadResult> watches =
            (source, afterRevision) -> new StoreReadResult.RevisionCompacted();

    SimulatedStore(ManualExecutor worker, MonotonicClock clock) {
        this.worker = worker;
        this.clock = clock;
    }

    /** Sets the response to lists, as of the time at which they begin, and the time that it takes. */
    void onList(long responseMillis, Supplier<StoreReadResult> response) {
        listResponseMillis = responseMillis;
        lists = response;
    }

    /** Sets the response to watches by their source and revision, as of the time at which it is sent. */
    void onWatch(BiFunction<StoreSource, Long, StoreReadResult> response) {
        watches = response;
    }

    /** Returns the times at which lists began, in milliseconds. */
    List<Long> listMillis() {
        return listMillis;
    }

    @Override
    public void range(StoreSource source, String after, Freshness freshness, Consumer<StoreReadResult> listener) {
        listMillis.add(TimeUnit.NANOSECONDS.toMillis(clock.nowNanos()));
        StoreReadResult result = lists.get();
        worker.schedule(() -> listener.accept(result), listResponseMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void watch(StoreSource source, StorePosition after, long waitMillis, Consumer<StoreReadResult> listener) {
        worker.schedule(
                () -> listener.accept(watches.apply(source, after.revision())), RESPONSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
