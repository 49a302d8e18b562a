package org.turmericspan.forwarding;

import java.util.concurrent.ScheduledExecutorService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.ResponseMessage;

/** Keeps the answer. */
final class FakeReply implements Reply {
    private final ScheduledExecutorService worker;
    private Runnable goneAction = () -> {};
    private ResponseMessage response;

    FakeReply(ScheduledExecutorService worker) {
        this.worker = worker;
    }

    @Override
    public void send(ResponseMessage answer) {
        if (response != null) {
            throw new IllegalStateException("answered twice");
        }
        response = answer;
    }

    @Override
    public void onCallerGone(Runnable action) {
        goneAction = action;
    }

    @Override
    public ScheduledExecutorService worker() {
        return worker;
    }

    void leave() {
        goneAction.run();
    }

    boolean isAnswered() {
        return response != null;
    }

    int status() {
        return response.status();
    }

    ResponseMessage response() {
        return response;
    }
}
