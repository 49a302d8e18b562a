package org.turmericspan.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.wire.PeerFrame;

/** A message on its way, from the moment it is handed over until its end. Used on the event loop of its link alone. */
final class Outgoing {
    /** Correlation of a message that needs no answer. */
    static final long NO_ANSWER = 0;

    private final long correlation;
    private final PeerMessage message;
    private final CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    private boolean sent;
    private boolean ended;
    private Future<?> timeout;

    Outgoing(long correlation, PeerMessage message) {
        this.correlation = correlation;
        this.message = message;
    }

    long correlation() {
        return correlation;
    }

    boolean needsAnswer() {
        return correlation != NO_ANSWER;
    }

    PeerFrame frame() {
        return needsAnswer() ? new PeerFrame.Ask(correlation, message) : new PeerFrame.Tell(message);
    }

    CompletableFuture<PeerMessage> answer() {
        return answer;
    }

    boolean hasEnded() {
        return ended;
    }

    void markSent() {
        sent = true;
    }

    void setTimeout(Future<?> newTimeout) {
        timeout = newTimeout;
    }

    /** Ends without an answer; whether bytes may have left follows from what was done before. */
    void endUnanswered(Executor workers) {
        end(new PeerMessage.Unreachable(sent), workers);
    }

    /** Ends without an answer, with proof that no byte left. */
    void endUnsent(Executor workers) {
        end(new PeerMessage.Unreachable(false), workers);
    }

    void end(PeerMessage result, Executor workers) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (needsAnswer()) {
            workers.execute(() -> answer.complete(result));
        }
    }
}
