package org.turmericspan.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;

/** A store that keeps its history until it is compacted, and completes watches as soon as an item changes. */
final class FakeStore implements HttpService {
    private static final int OK = 200;
    private static final int GONE = 410;

    private final Map<String, String> items = new TreeMap<>();
    private final Map<String, Long> revisions = new TreeMap<>();
    private final List<PendingWatch> watches = new ArrayList<>();
    private long revision = 1;
    private long compactedRevision;

    /** Writes an item; its watches are completed at once. */
    void put(String key, String value) {
        revision++;
        items.put(key, value);
        revisions.put(key, revision);
        List<PendingWatch> due = List.copyOf(watches);
        watches.clear();
        due.forEach(watch -> watch.reply.send(pageAfter(watch.after)));
    }

    /** Forgets the history up to now, so that watches of earlier revisions fail. */
    void compact() {
        compactedRevision = revision;
    }

    @Override
    public void handle(RequestMessage request, Reply reply) {
        long after = parameter(request.target(), "after");
        if (request.path().endsWith("kv-range")) {
            reply.send(page("items", 0));
        } else if (after < compactedRevision) {
            reply.send(new ResponseMessage(GONE, HeaderList.EMPTY, new byte[0]));
        } else if (after < revision) {
            reply.send(pageAfter(after));
        } else {
            PendingWatch watch = new PendingWatch(after, reply);
            watches.add(watch);
            reply.worker()
                    .schedule(
                            () -> {
                                if (watches.remove(watch)) {
                                    reply.send(pageAfter(after));
                                }
                            },
                            parameter(request.target(), "WaitMs"),
                            TimeUnit.MILLISECONDS);
        }
    }

    private static long parameter(String target, String name) {
        Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(target);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private ResponseMessage pageAfter(long after) {
        return page("events", after);
    }

    private ResponseMessage page(String kind, long after) {
        List<String> rows = new ArrayList<>();
        items.forEach((key, value) -> {
            if (revisions.get(key) > after) {
                rows.add("{\"Key\":\"" + key + "\",\"Revision\":" + revisions.get(key) + ",\"Value\":\""
                        + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\"}");
            }
        });
        return ResponseMessage.text(
                OK,
                "application/json",
                "{\"" + kind + "\":[" + String.join(",", rows) + "],\"StoreRevision\":" + revision + "}");
    }

    /** Returns the response of a store that does not serve a node. */
    static ResponseMessage rejection() {
        return new ResponseMessage(503, HeaderList.EMPTY, new byte[0]);
    }

    private record PendingWatch(long after, Reply reply) {}
}
