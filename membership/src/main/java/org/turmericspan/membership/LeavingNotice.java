package org.turmericspan.membership;

/** Whether this node is about to stop. Once given, the notice stays. */
public final class LeavingNotice {
    private volatile boolean given;

    /** Gives the notice; heartbeats carry it from now on. */
    public void give() {
        given = true;
    }

    /**
     * Tells whether the notice was given.
     *
     * @return true once this node is about to stop
     */
    public boolean isGiven() {
        return given;
    }
}
