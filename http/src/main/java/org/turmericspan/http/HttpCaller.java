package org.turmericspan.http;

import java.util.function.Consumer;
import org.turmericspan.ids.SocketAddress;

/** Sends HTTP requests. */
@FunctionalInterface
public interface HttpCaller {
    /**
     * Sends a request without blocking.
     *
     * @param address the server
     * @param request the request
     * @param options connection options of the call
     * @param listener called once on a worker when the call ends; not called after a cancellation
     * @return handle that cancels the call
     */
    CallHandle call(SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener);
}
