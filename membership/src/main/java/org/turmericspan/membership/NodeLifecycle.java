package org.turmericspan.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/** Whether this node starts, serves or is about to stop. Heartbeats and locate answers read it. It never goes back. */
public final class NodeLifecycle {
    private final List<Consumer<Phase>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /** How far the life of the node has come. */
    public enum Phase {
        /** The node does not listen for callers yet. */
        STARTING,
        /** The node takes calls. */
        SERVING,
        /** The node takes calls until the locate answers that name it have expired. */
        LEAVING,
        /** The node takes no new calls and finishes those in flight. */
        FINISHING
    }

    /**
     * Moves on to a later phase and tells the listeners. A step back has no effect.
     *
     * @param next the phase that begins
     */
    public void enter(Phase next) {
        Phase before = phase.getAndAccumulate(next, (old, offered) -> offered.compareTo(old) > 0 ? offered : old);
        if (next.compareTo(before) > 0) {
            listeners.forEach(listener -> listener.accept(next));
        }
    }

    /**
     * Adds a listener that is told of each phase that begins.
     *
     * @param listener told on the thread that stops the node
     */
    public void addListener(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /**
     * Returns how far the life of the node has come.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase.get();
    }

    /**
     * Tells whether locate answers must leave the node out.
     *
     * @return true before the node listens for callers and from the beginning of a planned stop
     */
    public boolean isLeaving() {
        return phase.get() != Phase.SERVING;
    }
}
