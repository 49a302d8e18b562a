package org.turmericspan.dispatch;

import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.SocketAddress;

/** Checks whether an upstream refuses connections, as it does after its process ended. */
@FunctionalInterface
public interface ConnectionRefusalCheck {
    /**
     * Connects to the upstream for this check only, without sending a request.
     *
     * @param address address on which the upstream listens
     * @return true when a connection was refused, false when one was established or failed otherwise; the stage never
     *     completes exceptionally
     */
    CompletionStage<Boolean> isRefused(SocketAddress address);
}
