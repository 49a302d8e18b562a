package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.turmericspan.ids.StorePosition;

/** Reader that records its reads and completes them when a test says how. */
final class FakeReader implements StoreReader {
    private final List<Read> reads = new ArrayList<>();
    private Freshness lastFreshness;
    private StorePosition lastAfter;

    @Override
    public void range(StoreSource source, String after, Freshness freshness, Consumer<StoreReadResult> listener) {
        reads.add(new Read(source, listener));
        lastFreshness = freshness;
    }

    @Override
    public void watch(StoreSource source, StorePosition after, long waitMillis, Consumer<StoreReadResult> listener) {
        reads.add(new Read(source, listener));
        lastAfter = after;
    }

    /** Returns what the last list asked for. */
    Freshness lastFreshness() {
        return lastFreshness;
    }

    /** Returns the position after which the last watch asked for changes. */
    StorePosition lastAfter() {
        return lastAfter;
    }

    /** Returns the sources of the reads that have no result yet, in the order in which they began. */
    List<StoreSource> pending() {
        return reads.stream().map(Read::source).toList();
    }

    long count(StoreSource.Kind kind) {
        return reads.stream().filter(read -> read.source().kind() == kind).count();
    }

    /** Ends the oldest read of a source. */
    void complete(StoreSource source, StoreReadResult result) {
        Read read = reads.stream()
                .filter(each -> each.source().equals(source))
                .findFirst()
                .orElseThrow();
        reads.remove(read);
        read.listener().accept(result);
    }

    record Read(StoreSource source, Consumer<StoreReadResult> listener) {}
}
