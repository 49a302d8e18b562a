package org.turmericspan.transport;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import org.turmericspan.events.EventLog;

/**
 * Routes Netty's warnings and errors to the event log.
 *
 * <p>The JDK's log manager, which Netty would use otherwise, takes a tenth of the start-up time.
 */
public final class NettyLogFactory extends InternalLoggerFactory {
    private final EventLog log;

    /**
     * Creates a factory, which must be installed before any other Netty class is used.
     *
     * @param log receives the warnings and errors
     */
    public NettyLogFactory(EventLog log) {
        this.log = log;
    }

    @Override
    protected InternalLogger newInstance(String name) {
        return new NettyLogger(name, log);
    }
}
