package org.turmericspan.membership;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Lifecycle phase of this node, from start to stop. It is reported in heartbeats and decides whether locate responses,
 * which tell callers the nodes to connect to, include this node. Phases only move forward.
 */
public final class NodeLifecycle {
    private final List<Consumer<Phase>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.STARTING);

    /** Phases in the order in which a node passes through them. */
    public enum Phase {
        /** The node does not accept connections of callers yet. */
        STARTING,
        /** The node accepts calls. */
        SERVING,
        /** The node is stopping, but accepts calls until the locate responses that name it have expired. */
        LEAVING,
        /** The node accepts no new calls and finishes those in flight. */
        FINISHING
    }

    /**
     * Enters a later phase and notifies the listeners. An earlier phase has no effect.
     *
     * @param next the phase to enter
     */
    public void enter(Phase next) {
        Phase previous =
                phase.getAndAccumulate(next, (current, offered) -> offered.compareTo(current) > 0 ? offered : current);
        if (next.compareTo(previous) > 0) {
            listeners.forEach(listener -> listener.accept(next));
        }
    }

    /**
     * Adds a listener that receives each phase that the node enters.
     *
     * @param listener called on the thread that changes the phase
     */
    public void addListener(Consumer<Phase> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the current phase.
     *
     * @return {@link Phase#STARTING} until another one is entered
     */
    public Phase phase() {
        return phase.get();
    }

    /**
     * Returns whether callers must not be directed to this node.
     *
     * @return true before the node accepts connections of callers and from the start of a planned stop
     */
    public boolean isLeaving() {
        return phase.get() != Phase.SERVING;
    }
}
