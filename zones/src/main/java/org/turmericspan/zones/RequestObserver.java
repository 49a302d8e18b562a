package org.turmericspan.zones;

import java.util.function.Supplier;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;

/** Observes the requests of the callers of this node, to measure their demand. */
public interface RequestObserver {
    /**
     * Records that a request begins. Called once a request, not for each of its attempts, and without a lock.
     *
     * @param service service of the request
     * @param kind returns what the request is like; called at most once, and not without zone sharing
     */
    void begun(ServiceId service, Supplier<RequestKind> kind);

    /**
     * Records the complete answer to a request.
     *
     * @param service service of the request
     * @param route route of the request
     * @param bodyBytes bytes of the body of the answer
     */
    void answered(ServiceId service, RouteId route, long bodyBytes);

    /**
     * Returns an observer that ignores all requests.
     *
     * @return the observer of a node without zone sharing
     */
    static RequestObserver none() {
        return new RequestObserver() {
            @Override
            public void begun(ServiceId service, Supplier<RequestKind> kind) {}

            @Override
            public void answered(ServiceId service, RouteId route, long bodyBytes) {}
        };
    }
}
