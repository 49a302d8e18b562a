package org.turmericspan.forwarding;

import java.util.concurrent.ScheduledExecutorService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.ResponseMessage;

/** Records the response, rejects a second one, and lets a test disconnect the caller or delay its request. */
final class FakeReply implements Reply {
    private final ScheduledExecutorService worker;
    private Runnable disconnectAction = () -> {};
    private ResponseMessage response;
    private long waitedNanos;

    FakeReply(ScheduledExecutorService worker) {
        this.worker = worker;
    }

    @Override
    public void send(ResponseMessage message) {
        if (response != null) {
            throw new IllegalStateException("The response was sent twice.");
        }
        response = message;
    }

    @Override
    public void onCallerGone(Runnable action) {
        disconnectAction = action;
    }

    @Override
    public ScheduledExecutorService worker() {
        return worker;
    }

    @Override
    public long waitedNanos() {
        return waitedNanos;
    }

    /** Sets how long the request has waited on its connection. */
    void setWaitedNanos(long nanos) {
        waitedNanos = nanos;
    }

    void disconnect() {
        disconnectAction.run();
    }

    boolean hasResponse() {
        return response != null;
    }

    int status() {
        return response.status();
    }

    ResponseMessage response() {
        return response;
    }
}
