package org.turmericspan.feed;

import java.util.HashSet;
import java.util.Set;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;

/** Logs each malformed item of the store once, and a bounded number of them. */
final class MalformedItems {
    private static final int MAX_LOGGED_KEYS = 1_000;

    private final Set<String> loggedKeys = new HashSet<>();
    private final EventLog log;

    MalformedItems(EventLog log) {
        this.log = log;
    }

    void record(StoreItem item, Exception cause) {
        if (loggedKeys.size() < MAX_LOGGED_KEYS && loggedKeys.add(item.key())) {
            log.write(Event.notice("store", "Item malformed, ignored.")
                    .with("key", item.key())
                    .with("reason", cause.getMessage()));
        }
    }
}
