package org.turmericspan.forwarding;

import org.turmericspan.balancing.Placement;
import org.turmericspan.http.CallHandle;

/** One attempt of a request that is under way. */
final class Attempt {
    private final Placement placement;
    private CallHandle handle = () -> {};

    Attempt(Placement placement) {
        this.placement = placement;
    }

    Placement placement() {
        return placement;
    }

    void started(CallHandle call) {
        handle = call;
    }

    void cancel() {
        handle.cancel();
    }
}
