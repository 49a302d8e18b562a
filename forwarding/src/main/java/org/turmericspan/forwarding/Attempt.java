package org.turmericspan.forwarding;

import org.turmericspan.balancing.Placement;
import org.turmericspan.http.CallHandle;

/** One attempt of a request that is under way. */
final class Attempt {
    private final Placement placement;
    private CallHandle handle = () -> {};
    private boolean overdue;

    Attempt(Placement placement) {
        this.placement = placement;
    }

    Placement placement() {
        return placement;
    }

    void started(CallHandle call) {
        handle = call;
    }

    /** Marks its answer as overdue; returns whether this is news. */
    boolean markOverdue() {
        boolean isNews = !overdue;
        overdue = true;
        return isNews;
    }

    void cancel() {
        handle.cancel();
    }
}
