package org.turmericspan.http;

import java.util.function.Consumer;
import org.turmericspan.ids.SocketAddress;

/** Sends requests. */
@FunctionalInterface
public interface HttpCaller {
    /**
     * Sends a request without blocking.
     *
     * @param address where to
     * @param request the request
     * @param options how
     * @param listener called once with the end, on a worker
     * @return handle by which the call is given up
     */
    CallHandle call(SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener);
}
