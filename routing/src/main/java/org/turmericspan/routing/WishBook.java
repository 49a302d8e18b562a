package org.turmericspan.routing;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Whom to tell when a wish is met or denied. */
final class WishBook {
    private final Map<WishKey, WishReply> replies = new ConcurrentHashMap<>();

    void put(WishKey key, WishReply reply) {
        replies.put(key, reply);
    }

    /** Removes and returns the reply of a wish that has not been answered yet. */
    Optional<WishReply> take(WishKey key) {
        return Optional.ofNullable(replies.remove(key));
    }

    boolean waits(WishKey key) {
        return replies.containsKey(key);
    }
}
