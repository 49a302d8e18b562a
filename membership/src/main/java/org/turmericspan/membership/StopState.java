package org.turmericspan.membership;

/** Whether this node is about to stop. Heartbeats and locate answers read it. It never goes back. */
public final class StopState {
    private volatile Phase phase = Phase.SERVING;

    /** How far a planned stop has come. */
    public enum Phase {
        /** The node takes calls. */
        SERVING,
        /** The node takes calls until the locate answers that name it have expired. */
        LEAVING,
        /** The node takes no new calls and finishes those in flight. */
        FINISHING
    }

    /**
     * Moves on to a later phase. A step back has no effect.
     *
     * @param next the phase that begins
     */
    public synchronized void enter(Phase next) {
        if (next.compareTo(phase) > 0) {
            phase = next;
        }
    }

    /**
     * Returns how far the stop has come.
     *
     * @return the phase
     */
    public Phase phase() {
        return phase;
    }

    /**
     * Tells whether the node is about to stop.
     *
     * @return true from the beginning of a planned stop
     */
    public boolean isLeaving() {
        return phase != Phase.SERVING;
    }
}
