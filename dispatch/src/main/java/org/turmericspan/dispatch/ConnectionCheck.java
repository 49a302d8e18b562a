package org.turmericspan.dispatch;

import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.SocketAddress;

/** Checks whether an upstream refuses connections. */
@FunctionalInterface
public interface ConnectionCheck {
    /**
     * Attempts to connect, and closes an established connection at once.
     *
     * @param address address on which the upstream listens
     * @return true when the connection was refused; the stage never completes exceptionally
     */
    CompletionStage<Boolean> isRefused(SocketAddress address);
}
