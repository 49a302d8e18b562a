package org.turmericspan.forwarding;

import org.turmericspan.balancing.Placement;
import org.turmericspan.http.CallHandle;

/** One attempt of a request, from its start until it ends or is cancelled. */
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

    void setHandle(CallHandle callHandle) {
        handle = callHandle;
    }

    /** Marks the response as overdue. Returns false when it was marked before. */
    boolean markOverdue() {
        boolean isFirstMark = !overdue;
        overdue = true;
        return isFirstMark;
    }

    void cancel() {
        handle.cancel();
    }
}
