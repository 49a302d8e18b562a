package org.turmericspan.routing;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Receivers of the decision on each slot request that is neither granted nor denied yet. */
final class PendingReplies {
    private final Map<SlotRequestId, SlotReply> replies = new ConcurrentHashMap<>();

    void put(SlotRequestId requestId, SlotReply reply) {
        replies.put(requestId, reply);
    }

    /** Removes and returns the receiver of a request that is still undecided. */
    Optional<SlotReply> take(SlotRequestId requestId) {
        return Optional.ofNullable(replies.remove(requestId));
    }

    boolean contains(SlotRequestId requestId) {
        return replies.containsKey(requestId);
    }
}
