package org.turmericspan.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.PeerFrame;

/** Message from the time it is passed to its link until it completes. Accessed only by the event loop of the link. */
final class OutgoingMessage {
    /** Correlation number of a message that needs no reply. */
    static final long NO_REPLY = 0;

    private final long correlation;
    private final PeerMessage message;
    private final CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    private boolean sent;
    private boolean completed;
    private Future<?> timeout;

    OutgoingMessage(long correlation, PeerMessage message) {
        this.correlation = correlation;
        this.message = message;
    }

    long correlation() {
        return correlation;
    }

    boolean needsReply() {
        return correlation != NO_REPLY;
    }

    PeerFrame frame() {
        return needsReply() ? new PeerFrame.Ask(correlation, message) : new PeerFrame.Tell(message);
    }

    CompletableFuture<PeerMessage> reply() {
        return reply;
    }

    boolean isCompleted() {
        return completed;
    }

    void markSent() {
        sent = true;
    }

    void setTimeout(Future<?> newTimeout) {
        timeout = newTimeout;
    }

    /** Completes without a reply; the message may have been sent only if it was marked as sent. */
    void completeWithoutReply(Executor workers) {
        complete(new PeerMessage.Unreachable(sent), workers);
    }

    /** Completes without a reply when it is certain that no byte was sent. */
    void completeUnsent(Executor workers) {
        complete(new PeerMessage.Unreachable(false), workers);
    }

    void complete(PeerMessage result, Executor workers) {
        if (completed) {
            return;
        }
        completed = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (needsReply()) {
            workers.execute(() -> reply.complete(result));
        }
    }
}
