package org.turmericspan.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.turmericspan.http.HeaderField;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.MonotonicClock;

/**
 * A store that keeps its history until it is compacted, and completes watches as soon as an item changes. It keeps
 * copies of itself, from which it can be restored.
 */
final class FakeStore implements HttpService {
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final long COPY_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final MonotonicClock clock;
    private final Map<String, Item> items = new TreeMap<>();
    /** What the writers know to be written, whether or not the store still has it; null for a removed item. */
    private final Map<String, String> acknowledged = new TreeMap<>();

    private final TreeMap<Long, Copy> copies = new TreeMap<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;
    private long era = 1;
    private boolean isEraTold;
    private boolean isSuspended;
    private boolean isEachWatchRefused;
    private Duration staleness = Duration.ZERO;
    private long lists;
    private long firstLists;

    FakeStore(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Writes an item; its watches are completed at once. A suspended store takes no write. */
    void put(String key, String value) {
        write(key, value);
    }

    /** Removes an item; its watches are completed at once. */
    void remove(String key) {
        write(key, null);
    }

    private void write(String key, String value) {
        if (isSuspended) {
            return;
        }
        revision++;
        items.put(key, new Item(value, revision));
        acknowledged.put(key, value);
        keepCopy();
        completeWatches();
    }

    private void keepCopy() {
        long nowNanos = clock.nowNanos();
        copies.put(nowNanos, new Copy(new TreeMap<>(items), revision, era));
        copies.headMap(nowNanos - COPY_RETENTION_NANOS).clear();
    }

    private void completeWatches() {
        List<PendingWatch> due = List.copyOf(watches);
        watches.clear();
        due.forEach(this::watch);
    }

    /** Forgets the history up to now, so that watches of earlier revisions fail. */
    void compact() {
        compactedRevision = revision;
    }

    /** Names the era in all responses from now on. */
    void tellEras() {
        isEraTold = true;
    }

    /** Responds to reads that may be stale with the state of some time ago, if it is of the present era. */
    void readStaleBy(Duration newStaleness) {
        staleness = newStaleness;
    }

    /** Responds to each watch that its history is no longer available. */
    void refuseEachWatch() {
        isEachWatchRefused = true;
        completeWatches();
    }

    /** Takes no writes until the store is restored, and ends all watches. */
    void suspend() {
        isSuspended = true;
        List<PendingWatch> ended = List.copyOf(watches);
        watches.clear();
        ended.forEach(watch -> watch.reply.send(rejection()));
    }

    /** Comes back from the copy of some time ago, in the next era and with the revisions of the copy. */
    void restore(Duration copyAge, boolean keepsHistory) {
        Copy copy = copies.floorEntry(clock.nowNanos() - copyAge.toNanos()).getValue();
        items.clear();
        items.putAll(copy.items);
        revision = copy.revision;
        compactedRevision = keepsHistory ? Math.min(compactedRevision, revision) : revision;
        era++;
        isSuspended = false;
        keepCopy();
        completeWatches();
    }

    /** Returns the keys whose acknowledged values the store does not have. */
    List<String> outdatedKeys() {
        return acknowledged.keySet().stream().filter(this::isOutdated).toList();
    }

    private boolean isOutdated(String key) {
        Item item = items.get(key);
        return !Objects.equals(acknowledged.get(key), item == null ? null : item.value);
    }

    /** Writes the acknowledged value of an item if the store does not have it. */
    void writeAgain(String key) {
        if (isOutdated(key)) {
            write(key, acknowledged.get(key));
        }
    }

    /** Returns the number of full lists that were read, but for those that may be stale. */
    long lists() {
        return lists;
    }

    /** Returns the number of full lists that may be stale, with which nodes start. */
    long firstLists() {
        return firstLists;
    }

    @Override
    public void handle(RequestMessage request, Reply reply) {
        if (request.path().endsWith("kv-range")) {
            boolean isStaleAllowed = request.target().contains("AllowStale=1");
            if (isStaleAllowed) {
                firstLists++;
            } else {
                lists++;
            }
            reply.send(list(isStaleAllowed));
            return;
        }
        PendingWatch watch = new PendingWatch(parameter(request.target(), "after"), reply);
        watch(watch);
        if (watches.contains(watch)) {
            reply.worker()
                    .schedule(
                            () -> {
                                if (watches.remove(watch)) {
                                    reply.send(pageAfter(watch.after));
                                }
                            },
                            parameter(request.target(), "WaitMs"),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void watch(PendingWatch watch) {
        if (isEachWatchRefused || watch.after < compactedRevision || watch.after > revision) {
            watch.reply.send(response(GONE));
        } else if (watch.after < revision) {
            watch.reply.send(pageAfter(watch.after));
        } else {
            watches.add(watch);
        }
    }

    private static long parameter(String target, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(target);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private ResponseMessage list(boolean isStaleAllowed) {
        Copy copy = new Copy(items, revision, era);
        Map.Entry<Long, Copy> earlier = copies.floorEntry(clock.nowNanos() - staleness.toNanos());
        if (isStaleAllowed && earlier != null && earlier.getValue().era == era) {
            copy = earlier.getValue();
        }
        Map<String, Item> present = new TreeMap<>(copy.items);
        present.values().removeIf(item -> item.value == null);
        return page("items", present, copy.revision);
    }

    private ResponseMessage pageAfter(long after) {
        Map<String, Item> changed = new TreeMap<>(items);
        changed.values().removeIf(item -> item.revision <= after);
        return page("events", changed, revision);
    }

    private ResponseMessage page(String kind, Map<String, Item> content, long pageRevision) {
        List<String> rows = new ArrayList<>();
        content.forEach((key, item) -> rows.add(item.row(key)));
        String body = "{\"" + kind + "\":[" + String.join(",", rows) + "],\"StoreRevision\":" + pageRevision + "}";
        return new ResponseMessage(OK, headers("application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    private HeaderList headers(String contentType) {
        List<HeaderField> fields = new ArrayList<>();
        if (!contentType.isEmpty()) {
            fields.add(new HeaderField("Content-Type", contentType));
        }
        if (isEraTold) {
            fields.add(new HeaderField("Store-Era", Long.toString(era)));
        }
        return new HeaderList(fields);
    }

    private ResponseMessage response(int status) {
        return new ResponseMessage(status, headers(""), new byte[0]);
    }

    /** Returns the response of a store that does not serve a node. */
    ResponseMessage rejection() {
        return response(UNAVAILABLE);
    }

    /** An item as it was written last; without a value once it is removed. */
    private record Item(String value, long revision) {
        String row(String key) {
            String start = "{\"Key\":\"" + key + "\",\"Revision\":" + revision;
            return value == null
                    ? start + ",\"Deleted\":true}"
                    : start + ",\"Value\":\""
                            + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\"}";
        }
    }

    /** The store as it was at a time. */
    private record Copy(Map<String, Item> items, long revision, long era) {}

    private record PendingWatch(long after, Reply reply) {}
}
