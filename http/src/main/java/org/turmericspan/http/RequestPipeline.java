package org.turmericspan.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides which requests of one connection may start, which response may be sent, and what becomes of the others when
 * the connection closes. Load: callers that send requests before the first of them has its response, a few or a
 * thousand, with one slow request among them.
 *
 * <p>Not thread-safe; all methods are called on the worker of the connection.
 *
 * @param <T> type of the requests, which are told apart by identity
 */
final class RequestPipeline<T> {
    /** Maximum number of requests that have started and whose response has not been sent. */
    static final int MAX_STARTED = 8;
    /** Number of requests that wait for their start at which reading from the connection pauses. */
    static final int MAX_WAITING = 8;

    private final Deque<Entry<T>> started = new ArrayDeque<>();
    private final Deque<Entry<T>> waiting = new ArrayDeque<>();
    private final Predicate<T> isRepeatable;
    private final Predicate<T> hasRoom;
    private boolean sending;
    private boolean ending;

    /** A request in the order of the connection. */
    private static final class Entry<T> {
        private final T request;
        private boolean answered;

        Entry(T request) {
            this.request = request;
        }
    }

    /**
     * The requests that a connection which closes gives up.
     *
     * @param waiting requests that have not started; their callers may send them again
     * @param inProgress requests that have started and have no response, to be cancelled
     * @param answered requests whose response was ready and has not been sent
     */
    record Dropped<T>(List<T> waiting, List<T> inProgress, List<T> answered) {}

    /**
     * Creates the pipeline of a connection.
     *
     * @param isRepeatable whether a request may run more than once; asked only when requests were sent ahead
     * @param hasRoom whether there is room for a request beside those in progress; asked only for requests sent ahead
     */
    RequestPipeline(Predicate<T> isRepeatable, Predicate<T> hasRoom) {
        this.isRepeatable = isRepeatable;
        this.hasRoom = hasRoom;
    }

    /**
     * Adds a request behind the others; none may be added behind the last one.
     *
     * @param request the request
     * @param last whether its response closes the connection
     */
    void add(T request, boolean last) {
        if (ending) {
            throw new IllegalStateException("A request was added behind the last one.");
        }
        waiting.addLast(new Entry<>(request));
        ending = last;
    }

    /** Returns whether the last response is known, so that nothing received from now on is handled. */
    boolean isEnding() {
        return ending;
    }

    /**
     * Starts the next request if it may start: the first one always, another one while it and all requests with no
     * response sent may be repeated, and the bound and the room allow it.
     *
     * @return the request, which has started; empty if none may start
     */
    Optional<T> startNext() {
        if (waiting.isEmpty() || !started.isEmpty() && !mayStartAhead(waiting.peekFirst())) {
            return Optional.empty();
        }
        Entry<T> next = waiting.removeFirst();
        started.addLast(next);
        return Optional.of(next.request);
    }

    /** Returns whether a request may start behind others; if several have started, all of them may be repeated. */
    private boolean mayStartAhead(Entry<T> next) {
        return started.size() < MAX_STARTED
                && (started.size() > 1 || isRepeatable.test(started.peekFirst().request))
                && isRepeatable.test(next.request)
                && hasRoom.test(next.request);
    }

    /** Records that the response to a request is ready; returns whether the request was in progress until now. */
    boolean answer(T request) {
        for (Entry<T> entry : started) {
            if (entry.request == request) {
                boolean first = !entry.answered;
                entry.answered = true;
                return first;
            }
        }
        return false;
    }

    /**
     * Takes the next response to send: that of the first request, once it is ready and the response before it is sent.
     *
     * @return the request whose response is to be sent; {@link #sent()} follows
     */
    Optional<T> sendNext() {
        if (sending || started.isEmpty() || !started.peekFirst().answered) {
            return Optional.empty();
        }
        sending = true;
        return Optional.of(started.peekFirst().request);
    }

    /** Records that the response taken last has been sent; without effect if the connection was closed meanwhile. */
    void sent() {
        if (sending) {
            sending = false;
            started.removeFirst();
        }
    }

    /** Returns whether the first request is the only one that was received. */
    boolean hasNoneBehindFirst() {
        return started.size() <= 1 && waiting.isEmpty();
    }

    /** Returns whether the response of the first request is the last one. */
    boolean isFirstLast() {
        return ending && hasNoneBehindFirst();
    }

    /** Makes a started request the last one, and gives up those behind it. */
    Dropped<T> endBehind(T request) {
        ending = true;
        List<Entry<T>> behind = new ArrayList<>();
        while (!started.isEmpty() && started.peekLast().request != request) {
            behind.add(0, started.removeLast());
        }
        return drop(behind);
    }

    /** Gives up all requests, except one whose response is being sent: its end is known to the sender. */
    Dropped<T> close() {
        ending = true;
        List<Entry<T>> all = new ArrayList<>(started);
        if (sending) {
            all.remove(0);
        }
        sending = false;
        started.clear();
        return drop(all);
    }

    private Dropped<T> drop(List<Entry<T>> entries) {
        List<T> inProgress = new ArrayList<>();
        List<T> answered = new ArrayList<>();
        entries.forEach(entry -> (entry.answered ? answered : inProgress).add(entry.request));
        List<T> notStarted = waiting.stream().map(entry -> entry.request).toList();
        waiting.clear();
        return new Dropped<>(notStarted, inProgress, answered);
    }

    /** Returns whether every request has its response sent. */
    boolean isEmpty() {
        return started.isEmpty() && waiting.isEmpty();
    }

    /** Returns whether a response has been taken and is not sent yet. */
    boolean isSending() {
        return sending;
    }

    /** Returns whether a request has started and has no response yet. */
    boolean hasInProgress() {
        for (Entry<T> entry : started) {
            if (!entry.answered) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether more requests may be received. */
    boolean mayReceive() {
        return waiting.size() < MAX_WAITING || ending;
    }
}
