package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.ResponseMessage;

/** A request of a replay with its returns: refused callers come back up to twice, when they were told to. */
final class ReplayedRequest {
    private static final int MAX_RETURNS = 2;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Replay replay;
    private final Replay.Kind kind;
    private final String caller;
    private final long workMillis;
    private final long firstMillis;
    private final List<Long> refusedAfterMillis = new ArrayList<>();
    private final List<Long> returnMillis = new ArrayList<>();
    private Runnable disconnectAction = () -> {};
    private int tries;
    private long sentMillis;
    private long answeredMillis = -1;
    private int status;
    private double longestDelayShare;

    ReplayedRequest(Replay replay, Replay.Kind kind, String caller, long workMillis) {
        this.replay = replay;
        this.kind = kind;
        this.caller = caller;
        this.workMillis = workMillis;
        this.firstMillis = replay.nowMillis();
    }

    Replay.Kind kind() {
        return kind;
    }

    String caller() {
        return caller;
    }

    long workMillis() {
        return workMillis;
    }

    /** Returns the status of the last response; 0 before it. */
    int status() {
        return status;
    }

    boolean isServed() {
        return status == OK;
    }

    boolean isInTime() {
        return isServed() && answeredMillis - firstMillis <= kind.targetMillis();
    }

    /** Returns how long each try that was refused had been held. */
    List<Long> refusedAfterMillis() {
        return refusedAfterMillis;
    }

    /** Returns the times at which the caller came back. */
    List<Long> returnMillis() {
        return returnMillis;
    }

    /** Returns the longest delay that the caller was told, as a share of the time that it had left. */
    double longestDelayShare() {
        return longestDelayShare;
    }

    void disconnect() {
        disconnectAction.run();
    }

    void send() {
        tries++;
        sentMillis = replay.nowMillis();
        replay.handle(this, caller + "-" + firstMillis + "-" + tries, leftMillis());
    }

    private long leftMillis() {
        return kind.callerMillis() - (replay.nowMillis() - firstMillis);
    }

    Reply newReply() {
        return new CallerReply();
    }

    private void answered(ResponseMessage response) {
        status = response.status();
        answeredMillis = replay.nowMillis();
        if (status != UNAVAILABLE) {
            return;
        }
        refusedAfterMillis.add(answeredMillis - sentMillis);
        double seconds =
                Double.parseDouble(response.headers().first("Retry-After").orElse("0"));
        longestDelayShare = Math.max(longestDelayShare, seconds * MILLIS_PER_SECOND / Math.max(1, leftMillis()));
        long delayMillis = Math.min((long) (seconds * MILLIS_PER_SECOND), leftMillis() / 3);
        if (tries <= MAX_RETURNS && leftMillis() > 0) {
            returnMillis.add(answeredMillis + delayMillis);
            replay.at(delayMillis, this::send);
        }
    }

    private final class CallerReply implements Reply {
        private boolean isSent;

        @Override
        public void send(ResponseMessage response) {
            if (isSent) {
                throw new IllegalStateException("The response was sent twice.");
            }
            isSent = true;
            answered(response);
        }

        @Override
        public void onCallerGone(Runnable action) {
            disconnectAction = action;
        }

        @Override
        public ScheduledExecutorService worker() {
            return replay.worker();
        }

        @Override
        public String callerAddress() {
            return caller;
        }
    }
}
