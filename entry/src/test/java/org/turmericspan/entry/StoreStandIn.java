package org.turmericspan.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Base64;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;

/**
 * An in-memory store with the published protocol of the platform. It can be restored from a copy of an earlier time:
 * what was written since is lost, and revisions are assigned again.
 */
final class StoreStandIn implements HttpService {
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int POLL_MILLIS = 10;
    /** Time for which earlier states are kept as copies. */
    private static final long COPIES_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final Map<String, Item> items = new TreeMap<>();
    /** What the writers want the store to hold; null stands for a removed item. */
    private final Map<String, String> writtenValues = new TreeMap<>();

    private final Deque<Copy> copies = new ArrayDeque<>();
    private final AtomicLong lists = new AtomicLong();
    private final AtomicLong watches = new AtomicLong();
    private long revision = 1;
    private long earliestRevision;
    private long era;
    private boolean isAway;
    private volatile int rejectionStatus;

    private record Item(String value, long revision) {
        boolean isRemoved() {
            return value == null;
        }
    }

    /**
     * State of the store from a time on.
     *
     * @param takenNanos time of the last change
     * @param items all items
     * @param revision revision of the store
     */
    private record Copy(long takenNanos, Map<String, Item> items, long revision) {}

    /** Writes an item. While the store is away, the writer repeats the write after its return. */
    synchronized void put(String key, String value) {
        writtenValues.put(key, value);
        if (!isAway) {
            apply(key, value);
        }
    }

    synchronized void remove(String key) {
        put(key, null);
    }

    private void apply(String key, String value) {
        items.put(key, new Item(value, ++revision));
        recordCopy();
    }

    private void recordCopy() {
        long nowNanos = System.nanoTime();
        copies.addLast(new Copy(nowNanos, new TreeMap<>(items), revision));
        Copy first = copies.removeFirst();
        while (!copies.isEmpty() && nowNanos - copies.getFirst().takenNanos() > COPIES_NANOS) {
            first = copies.removeFirst();
        }
        copies.addFirst(first);
    }

    /** Sets the status with which every read is rejected; 0 serves reads again. */
    void rejectReads(int status) {
        rejectionStatus = status;
    }

    /** Adds the era to all responses from now on, and rejects watches of revisions that the store does not have. */
    synchronized void announceEra() {
        era = Math.max(era, 1);
    }

    /** Accepts no writes until the store is restored; its port is to be closed beside. */
    synchronized void leave() {
        isAway = true;
    }

    /** Returns with the state that the store had at an earlier time, in the next era. */
    synchronized void restore(long copyNanos) {
        Copy copy = copies.getFirst();
        for (Copy later : copies) {
            if (later.takenNanos() - copyNanos <= 0) {
                copy = later;
            }
        }
        items.clear();
        items.putAll(copy.items());
        revision = copy.revision();
        earliestRevision = Math.min(earliestRevision, revision);
        era++;
        isAway = false;
        recordCopy();
    }

    /** Discards the history up to the present revision. */
    synchronized void discardHistory() {
        earliestRevision = revision;
    }

    /** Writes again what the store has lost. */
    synchronized void writeLostItems() {
        writtenValues.forEach((key, value) -> {
            Item item = items.get(key);
            if (!Objects.equals(item == null ? null : item.value(), value)) {
                apply(key, value);
            }
        });
    }

    /** Returns the number of list calls, also rejected ones. */
    long lists() {
        return lists.get();
    }

    /** Returns the number of watch calls, also rejected ones. */
    long watches() {
        return watches.get();
    }

    @Override
    public void handle(RequestMessage request, Reply reply) {
        boolean isList = request.path().equals("/api/kv-range");
        (isList ? lists : watches).incrementAndGet();
        if (rejectionStatus != 0) {
            reply.send(response(rejectionStatus, "{}"));
        } else if (isList) {
            reply.send(page("items", 0, false));
        } else {
            long after = Long.parseLong(parameter(request.target(), "after"));
            long waitMillis = Long.parseLong(parameter(request.target(), "WaitMs"));
            watch(reply, after, waitMillis);
        }
    }

    private void watch(Reply reply, long after, long remainingMillis) {
        if (!hasHistory(after)) {
            reply.send(response(GONE, "{}"));
        } else if (remainingMillis <= 0 || hasChanged(after)) {
            reply.send(page("events", after, true));
        } else {
            reply.worker()
                    .schedule(
                            () -> watch(reply, after, remainingMillis - POLL_MILLIS),
                            POLL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private synchronized boolean hasHistory(long after) {
        return era == 0 || after >= earliestRevision && after <= revision;
    }

    private synchronized boolean hasChanged(long after) {
        return revision > after;
    }

    private synchronized ResponseMessage page(String kind, long after, boolean includeRemoved) {
        String rows = items.entrySet().stream()
                .filter(entry -> entry.getValue().revision() > after)
                .filter(entry -> includeRemoved || !entry.getValue().isRemoved())
                .map(entry -> row(entry.getKey(), entry.getValue()))
                .collect(Collectors.joining(","));
        return response(OK, "{\"" + kind + "\":[" + rows + "],\"StoreRevision\":" + revision + ",\"Truncated\":false}");
    }

    private synchronized ResponseMessage response(int status, String body) {
        HeaderList headers = HeaderList.EMPTY.with("Content-Type", "application/json");
        return new ResponseMessage(
                status,
                era == 0 ? headers : headers.with("Store-Era", Long.toString(era)),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private static String row(String key, Item item) {
        String start = "{\"Key\":\"" + key + "\",\"Revision\":" + item.revision();
        if (item.isRemoved()) {
            return start + ",\"Deleted\":true}";
        }
        byte[] value = item.value().getBytes(StandardCharsets.UTF_8);
        return start + ",\"Value\":\"" + Base64.getEncoder().encodeToString(value) + "\"}";
    }

    private static String parameter(String target, String name) {
        String rest = target.substring(target.indexOf(name + "=") + name.length() + 1);
        int end = rest.indexOf('&');
        return end < 0 ? rest : rest.substring(0, end);
    }
}
