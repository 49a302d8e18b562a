package org.turmericspan.dispatch;

import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.SocketAddress;

/** Finds out whether an upstream refuses connections. */
@FunctionalInterface
public interface ConnectionCheck {
    /**
     * Tries to connect, and closes the connection at once.
     *
     * @param address where the upstream listens
     * @return true when the connection was refused; the stage never completes exceptionally
     */
    CompletionStage<Boolean> isRefused(SocketAddress address);
}
