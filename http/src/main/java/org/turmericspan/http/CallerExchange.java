package org.turmericspan.http;

import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.turmericspan.ids.MonotonicClock;

/**
 * A request of a caller and its response, or the response of the listener itself to bytes that it did not accept. The
 * body of the request takes memory until the response is ready.
 */
final class CallerExchange implements Reply {
    private final RequestMessage message;
    private final BodyBuffer body;
    private final Owner owner;
    private final long receivedNanos;
    private ResponseMessage response;
    private Runnable disconnectAction = () -> {};
    private boolean ended;

    /**
     * What an exchange takes from its connection.
     *
     * @param clock source of monotonic time
     * @param worker runs all events of the connection
     * @param callerAddress returns the address of the caller; empty if it is unknown
     * @param answered called once for a request whose response is ready
     */
    record Owner(
            MonotonicClock clock,
            ScheduledExecutorService worker,
            Supplier<String> callerAddress,
            Consumer<CallerExchange> answered) {}

    private CallerExchange(RequestMessage message, BodyBuffer body, Owner owner, long receivedNanos) {
        this.message = message;
        this.body = body;
        this.owner = owner;
        this.receivedNanos = receivedNanos;
    }

    static CallerExchange ofRequest(RequestMessage message, BodyBuffer body, Owner owner, long receivedNanos) {
        return new CallerExchange(message, body, owner, receivedNanos);
    }

    static CallerExchange ofRejection(ResponseMessage response) {
        CallerExchange exchange = new CallerExchange(null, null, null, 0);
        exchange.response = response;
        exchange.ended = true;
        return exchange;
    }

    /** Returns whether no service handles it, because its bytes were not accepted. */
    boolean isRejection() {
        return message == null;
    }

    RequestMessage message() {
        return message;
    }

    ResponseMessage response() {
        return response;
    }

    int responseBytes() {
        return response.body().length;
    }

    /** Returns whether the caller sends no request behind this one. */
    boolean isLast() {
        return isRejection()
                || message.headers()
                        .first("Connection")
                        .map(value -> value.equalsIgnoreCase("close"))
                        .orElse(false);
    }

    @Override
    public void send(ResponseMessage ready) {
        if (!ended) {
            end(ready);
            owner.answered().accept(this);
        }
    }

    /** Ends an exchange without the service, which has not handled the request. */
    void refuse(ResponseMessage refusal) {
        end(refusal);
    }

    private void end(ResponseMessage ready) {
        ended = true;
        response = ready;
        body.close();
    }

    /** Ends an exchange whose request has not started, and releases its memory. */
    void drop() {
        if (!ended) {
            ended = true;
            body.close();
        }
    }

    /** Ends an exchange whose caller does not get the response. */
    void cancel() {
        drop();
        disconnectAction.run();
    }

    @Override
    public void onCallerGone(Runnable action) {
        disconnectAction = action;
    }

    @Override
    public long waitedNanos() {
        return owner.clock().nowNanos() - receivedNanos;
    }

    @Override
    public String callerAddress() {
        return owner.callerAddress().get();
    }

    @Override
    public ScheduledExecutorService worker() {
        return owner.worker();
    }
}
